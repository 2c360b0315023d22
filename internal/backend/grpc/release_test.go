package grpc

import (
	"log/slog"
	"testing"

	"google.golang.org/grpc/codes"

	"docksail/internal/dispatch"
	"docksail/internal/h2"
)

// TestReleaseAnsweredByEngine checks that a release counts as lost if and only if the engine answers it with an error.
func TestReleaseAnsweredByEngine(t *testing.T) {
	for code, want := range map[codes.Code]uint64{codes.OK: 0, codes.Unavailable: 1, codes.Internal: 1} {
		d := &dispatch.Dispatcher{}
		b := &Backend{dispatcher: d, log: slog.New(slog.DiscardHandler)}
		c := &conn{backend: b, server: &server{backend: b}}
		c.StreamFinished(&h2.Stream{UserData: pendingRelease{1, 0}}, code, "", nil)
		if d.Counts.ReleasesLost != want {
			t.Errorf("%s: %d lost, want %d", code, d.Counts.ReleasesLost, want)
		}
	}
}

// TestReleaseWithoutFreeStream guards against releases that are dropped without being counted, because the connection
// for which they waited has no free stream.
func TestReleaseWithoutFreeStream(t *testing.T) {
	d := &dispatch.Dispatcher{}
	b := &Backend{dispatcher: d, log: slog.New(slog.DiscardHandler)}
	s := &server{backend: b, releases: []pendingRelease{{1, 0}, {2, 0}}}
	c := &conn{backend: b, server: s}
	c.http2 = h2.NewClientConn(h2.DefaultLimits, c)
	c.http2.TransportClosed()
	s.sendPendingReleases(c)
	if d.Counts.ReleasesLost != 2 || len(s.releases) != 0 {
		t.Errorf("%d releases lost, %d wait; want 2 and none", d.Counts.ReleasesLost, len(s.releases))
	}
}
