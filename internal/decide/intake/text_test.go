package intake

import "testing"

// TestVerdictText fixes the texts, since clients receive them as the reason of a rejection.
func TestVerdictText(t *testing.T) {
	for verdict, want := range map[Verdict]string{
		Accepted: "taken", Draining: "dispatcher drains", AtCapacity: "too many requests in hand",
		PromptTooLong: "prompt too long", DeadlineTooClose: "no time left", NoServersKnown: "no engines known",
	} {
		if got := verdict.String(); got != want {
			t.Errorf("verdict %d is %q, want %q", uint8(verdict), got, want)
		}
	}
}
