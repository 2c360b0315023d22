package policy

// pcg is a permuted congruential generator (PCG-XSH-RR 64/32).
type pcg struct{ state uint64 }

// intn returns a random integer in [0, n).
func (g *pcg) intn(n int32) int32 {
	old := g.state
	g.state = old*6364136223846793005 + 1442695040888963407
	x := uint32(((old >> 18) ^ old) >> 27)
	rotation := uint32(old >> 59)
	x = x>>rotation | x<<((32-rotation)&31)
	return int32(uint64(x) * uint64(n) >> 32)
}

// fraction returns a random number in [0, 1).
func (g *pcg) fraction() float64 { return float64(g.intn(1<<30)) / (1 << 30) }

// mixBits hashes a number (the finalizer of splitmix64). All dispatchers get the same result.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// hashFraction hashes a key to a number in [0, 1). All dispatchers get the same result.
func hashFraction(key uint64) float64 { return float64(mixBits(key+1)>>11) / (1 << 53) }
