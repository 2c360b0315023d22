package streamwatch

import "testing"

// TestVerdictText checks the texts, which clients receive as the reason of a failed request.
func TestVerdictText(t *testing.T) {
	for verdict, want := range map[Verdict]string{
		Continue: "continue", ServerSilent: "decode server silent",
		ClientNotReading: "client does not read", DeadlineReached: "time is up",
	} {
		if got := verdict.String(); got != want {
			t.Errorf("verdict %d: text %q, want %q", uint8(verdict), got, want)
		}
	}
}
