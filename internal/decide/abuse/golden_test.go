package abuse

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestGoldenDecisions checks that the limiter's decisions equal the recorded ones.
func TestGoldenDecisions(t *testing.T) {
	const want = "3d05ef86e0ac098ba10b5d018292acb6b39b548dbdaad8ba698c3e3ab4457ad8"
	rng := rand.New(rand.NewPCG(1, 7))
	digest := sha256.New()
	refused := 0
	for range 50 {
		var l Limiter
		now := int64(1e9)
		for range 2000 {
			now += rng.Int64N(1e7) - 1e6
			if rng.IntN(3) == 0 {
				l.AddCredit()
			}
			event := Event(rng.IntN(int(eventCount)))
			allowed := l.Allow(now, event)
			if !allowed {
				refused++
			}
			fmt.Fprintln(digest, event, allowed)
		}
	}
	t.Logf("%d of 100,000 events refused", refused)
	if got := hex.EncodeToString(digest.Sum(nil)); got != want {
		t.Errorf("digest of the decisions is %s, want %s", got, want)
	}
}
