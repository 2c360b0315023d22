package connlimit

import (
	"net/netip"
	"testing"

	"pgregory.net/rapid"
)

func source(n int) Source {
	return SourceOf(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}).As16())
}

// TestFloodFromOne: one address takes what it can; others still come in.
func TestFloodFromOne(t *testing.T) {
	c, err := New(1000)
	if err != nil {
		t.Fatal(err)
	}
	got := 0
	for i := range 100000 {
		if c.Accept(int64(i)*1e5, source(1)) == Accepted {
			got++
		}
	}
	if got > 700 || got < 500 {
		t.Errorf("one address has %d of 1,000 connections, want half and some of what was left", got)
	}
	for i := range 50 {
		for range leastEach {
			if why := c.Accept(1e10, source(2+i)); why != Accepted {
				t.Fatalf("address %d is refused: %v", i, why)
			}
		}
	}
}

// TestFloodFromMany: addresses that each take their part leave something for the next, to the last connections.
func TestFloodFromMany(t *testing.T) {
	c, _ := New(1000)
	for i := range 60 {
		for range 1000 {
			c.Accept(1, source(i))
		}
	}
	if c.OpenConnections() > 1000 {
		t.Fatalf("%d open", c.OpenConnections())
	}
	if c.OpenConnections() < 900 {
		t.Errorf("%d of 1,000 used by 60 addresses that want more", c.OpenConnections())
	}
}

func TestRoomIsFree(t *testing.T) {
	c, _ := New(1000)
	for i := range 500 {
		if why := c.Accept(1, source(1)); why != Accepted {
			t.Fatalf("connection %d of 500 refused while there is room: %v", i, why)
		}
	}
}

func TestCut(t *testing.T) {
	a, b := netip.MustParseAddr("2001:db8::1").As16(), netip.MustParseAddr("2001:db8::ffff:1").As16()
	if SourceOf(a) != SourceOf(b) {
		t.Error("two addresses of one IPv6 network are two sources")
	}
	if SourceOf(netip.MustParseAddr("127.0.0.1").As16()) == SourceOf(netip.MustParseAddr("127.0.0.2").As16()) {
		t.Error("two IPv4 addresses are one source")
	}
}

// TestAccount: whatever comes and goes, the counts are right and what is remembered is bounded.
func TestAccount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 40).Draw(t, "most")
		c, _ := New(most)
		var open []Source
		now := int64(0)
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += rapid.Int64Range(0, 2e9).Draw(t, "time")
			if len(open) == 0 || rapid.IntRange(0, 2).Draw(t, "what") > 0 {
				s := source(rapid.IntRange(0, 200).Draw(t, "source"))
				why := c.Accept(now, s)
				if why == Accepted {
					open = append(open, s)
				}
				if (why == LimitReached) != (len(open) >= most && why != Accepted) {
					t.Fatalf("%v with %d of %d open", why, len(open), most)
				}
			} else {
				k := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				c.Closed(now, open[k])
				open = append(open[:k], open[k+1:]...)
			}
			if c.OpenConnections() != len(open) {
				t.Fatalf("%d open by count, want %d", c.OpenConnections(), len(open))
			}
			if len(c.sources) > 2*most+1 {
				t.Fatalf("%d addresses remembered for %d connections", len(c.sources), most)
			}
		}
	})
}
