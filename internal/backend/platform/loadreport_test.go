package platform

import "testing"

// TestLoadReportLine guards against a load report that is missed because something like one comes before it in its
// chunk, and against an older report that is taken in place of the newest.
func TestLoadReportLine(t *testing.T) {
	for chunk, want := range map[string]string{
		": X-Pressure: {\"queue\":1}\n\n":                                              `{"queue":1}`,
		"data: x\n\n: X-Pressure: {\"queue\":2}\r\n\n":                                 `{"queue":2}`,
		"data: \": X-Pressure: {}\"\n\n: X-Pressure: {\"queue\":3}\n\n":                `{"queue":3}`,
		": X-Pressure: {\"queue\":4}\n\ndata: y\n\n: X-Pressure: {\"queue\":5}\n\n":    `{"queue":5}`,
		": X-Pressure: {\"queue\":6}\n\ndata: \"no line : X-Pressure: {}\"\n\ndata: z": `{"queue":6}`,
		"data: \": X-Pressure: {}\"\n\n":                                               "",
		"data: x\n\n":                                                                  "",
	} {
		if got := string(loadReportLine([]byte(chunk))); got != want {
			t.Errorf("report %q of the chunk %q, want %q", got, chunk, want)
		}
	}
}
