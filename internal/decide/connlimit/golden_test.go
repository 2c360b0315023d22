package connlimit

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestGoldenDecisions checks that the limiter's decisions equal the recorded ones.
func TestGoldenDecisions(t *testing.T) {
	const want = "594edade820b8e91f905be99c2fd502aa320e9095a5688b41036dca0f110d009"
	rng := rand.New(rand.NewPCG(1, 7))
	digest := sha256.New()
	l := newLimiter(t, 100)
	var open []Source
	now := int64(1e9)
	for step := range 40000 {
		from := source(rng.IntN(rng.IntN(200) + 1))
		reconnects := step%4000 > 2000 && step%4000 < 2600 // one source opens and closes connections in quick succession
		if reconnects {
			from = source(1000)
		}
		if !reconnects || step%8 == 0 {
			now += rng.Int64N(5e6)
		}
		verdict := l.Accept(now, from)
		if verdict == Accepted && reconnects {
			l.Closed(from)
		} else if verdict == Accepted {
			open = append(open, from)
		}
		closing := rng.IntN(2)
		if step%4000 > 3000 {
			closing = 3
		} else if reconnects { // 60 of 100 stay open: connections are scarce, but some are free
			closing = max(len(open)-60, 0)
		}
		for range closing {
			if len(open) > 0 {
				i := rng.IntN(len(open))
				l.Closed(open[i])
				open = append(open[:i], open[i+1:]...)
			}
		}
		fmt.Fprintln(digest, uint8(verdict), verdict, l.open)
	}
	fmt.Fprintf(digest, "%v\n", l.Counts)
	t.Logf("%+v", l.Counts)
	if got := hex.EncodeToString(digest.Sum(nil)); got != want {
		t.Errorf("digest of the decisions is %s, want %s", got, want)
	}
}
