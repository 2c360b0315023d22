package intake

import "testing"

// TestVerdictText checks the texts of the verdicts, which clients receive as the reason for a rejection.
func TestVerdictText(t *testing.T) {
	for verdict, want := range map[Verdict]string{
		Accepted: "accepted", Draining: "dispatcher drains", AtCapacity: "too many requests in hand",
		PromptTooLong: "prompt too long", DeadlineTooClose: "no time left", EndpointListUnknown: "no engines known",
	} {
		if got := verdict.String(); got != want {
			t.Errorf("verdict %d is %q, want %q", uint8(verdict), got, want)
		}
	}
}
