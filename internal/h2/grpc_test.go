package h2

import "testing"

// TestTimeouts checks that a formatted timeout is parsed as the same or a slightly longer one, and that malformed
// timeouts are rejected.
func TestTimeouts(t *testing.T) {
	for _, ns := range []int64{1, 999, 99999999, 100000000, 123456789012, 5e9, 3600e9, 1 << 61} {
		got, err := ParseTimeout(FormatTimeout(ns))
		if err != nil || got < ns || float64(got) > 1.01*float64(ns)+1 {
			t.Errorf("%d ns became %d ns, error %v", ns, got, err)
		}
	}
	for _, bad := range []string{"", "S", "1", "123456789S", "-1S", "1s", "1.5S", "+1S"} {
		if _, err := ParseTimeout(bad); err == nil {
			t.Errorf("timeout %q was accepted", bad)
		}
	}
}
