package background

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestGoldenDecisions checks that the limiter's decisions equal the recorded ones.
func TestGoldenDecisions(t *testing.T) {
	const want = "7326d2fa03de49447e6834fb317c8affb3490dc0eb6662cb22d9a997f86f717c"
	rng := rand.New(rand.NewPCG(1, 7))
	digest := sha256.New()
	l, now, started := New(), sec, 0
	for range 20000 {
		now += rng.Int64N(sec / 8)
		admitted := l.CanAdmit(now)
		if admitted {
			l.RecordAdmitted()
		}
		switch rng.IntN(8) {
		case 0, 1, 2:
			if l.InFlight() > started {
				l.RecordStarted()
				started++
			}
		case 3, 4:
			if started > 0 {
				started--
				l.RecordFinished(now, Outcome{Started: true, Served: rng.IntN(20) > 0})
			}
		case 5:
			if l.InFlight() > started && rng.IntN(20) == 0 {
				l.RecordFinished(now, rejected)
			}
		case 6:
			l.ObserveQueueWait(now, rng.Int64N(sec/28))
		case 7:
			l.ObserveFirstToken(now, rng.Int64N(sec*38/100), sec/3)
			if rng.IntN(50) == 0 {
				l.ObserveRejection(now)
			}
		}
		end, paused := l.PausedUntil(now)
		fmt.Fprintln(digest, admitted, l.InFlight(), l.Limit(), end, paused)
	}
	fmt.Fprintf(digest, "%v\n", l.Counts)
	t.Logf("%+v", l.Counts)
	if got := hex.EncodeToString(digest.Sum(nil)); got != want {
		t.Errorf("digest of the decisions is %s, want %s", got, want)
	}
}
