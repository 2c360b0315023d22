package streamwatch

import "testing"

// TestVerdictText fixes the texts, since clients receive them as the reason of a failed request.
func TestVerdictText(t *testing.T) {
	for verdict, want := range map[Verdict]string{
		Continue: "goes on", ServerSilent: "decode server silent",
		ClientNotReading: "client does not read", DeadlineReached: "time is up",
	} {
		if got := verdict.String(); got != want {
			t.Errorf("verdict %d is %q, want %q", uint8(verdict), got, want)
		}
	}
}
