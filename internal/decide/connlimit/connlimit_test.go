package connlimit

import (
	"net/netip"
	"testing"

	"pgregory.net/rapid"
)

func newLimiter(t *testing.T, maxConnections int) *Limiter {
	t.Helper()
	l, err := New(maxConnections)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// source returns the nth IPv4 source.
func source(n int) Source {
	return SourceOf(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}).As16())
}

// TestFloodFromOneSource checks that a source that opens as many connections as it can leaves some for others.
func TestFloodFromOneSource(t *testing.T) {
	l := newLimiter(t, 1000)
	accepted := 0
	for i := range 100000 {
		if l.Accept(int64(i)*1e5, source(1)) == Accepted {
			accepted++
		}
	}
	if accepted > 700 || accepted < 500 {
		t.Errorf("one source has %d of 1,000 connections, want 500 to 700", accepted)
	}
	for i := range 50 {
		for range minPerSource {
			if verdict := l.Accept(1e10, source(2+i)); verdict != Accepted {
				t.Fatalf("connection from source %d refused: %v", i, verdict)
			}
		}
	}
}

// TestFloodFromManySources checks that many sources at their limits use nearly all connections and no more.
func TestFloodFromManySources(t *testing.T) {
	l := newLimiter(t, 1000)
	for i := range 60 {
		for range 1000 {
			l.Accept(1, source(i))
		}
	}
	if l.open > 1000 {
		t.Fatalf("%d connections open, want at most 1,000", l.open)
	}
	if l.open < 900 {
		t.Errorf("%d of 1,000 connections open during a flood from 60 sources, want 900 or more", l.open)
	}
}

// TestRateOfOneSource guards against a rate limit that hardly limits: while connections are scarce, a source that opens
// and closes connections in quick succession gets its burst and its rate, and no more.
func TestRateOfOneSource(t *testing.T) {
	const seconds = 10
	l := newLimiter(t, 1000)
	for i := range 600 {
		if verdict := l.Accept(0, source(2+i)); verdict != Accepted {
			t.Fatalf("connection %d of 600 refused: %v", i, verdict)
		}
	}
	accepted := 0
	for millis := range seconds * 1000 {
		if l.Accept(int64(millis)*1e6, source(1)) == Accepted {
			accepted++
			l.Closed(source(1))
		}
	}
	if want := newConnectionBurst + seconds*newConnectionsPerSecond; accepted > want || accepted < want-2 {
		t.Errorf("%d of %d connections accepted, want %d", accepted, seconds*1000, want)
	}
}

// TestNoLimitBelowHalf checks that a source is not limited while half of the connections are free.
func TestNoLimitBelowHalf(t *testing.T) {
	l := newLimiter(t, 1000)
	for i := range 500 {
		if verdict := l.Accept(1, source(1)); verdict != Accepted {
			t.Fatalf("connection %d of 500 refused: %v", i, verdict)
		}
	}
}

// TestSourceOf checks that an IPv6 /64 network is one source and that each IPv4 address is a source of its own.
func TestSourceOf(t *testing.T) {
	a, b := netip.MustParseAddr("2001:db8::1").As16(), netip.MustParseAddr("2001:db8::ffff:1").As16()
	if SourceOf(a) != SourceOf(b) {
		t.Error("two addresses of one IPv6 /64 network are different sources")
	}
	if SourceOf(netip.MustParseAddr("127.0.0.1").As16()) == SourceOf(netip.MustParseAddr("127.0.0.2").As16()) {
		t.Error("two IPv4 addresses are the same source")
	}
}

// TestCountsStayInBounds checks that the counts are right and the tracked sources bounded under random operations.
func TestCountsStayInBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		maxConnections := rapid.IntRange(1, 40).Draw(rt, "max connections")
		l := newLimiter(t, maxConnections)
		var open []Source
		now := int64(0)
		for range rapid.IntRange(1, 400).Draw(rt, "steps") {
			now += rapid.Int64Range(0, 2e9).Draw(rt, "elapsed nanoseconds")
			if len(open) == 0 || rapid.IntRange(0, 2).Draw(rt, "operation") > 0 {
				s := source(rapid.IntRange(0, 200).Draw(rt, "source"))
				verdict := l.Accept(now, s)
				if verdict == Accepted {
					open = append(open, s)
				}
				if (verdict == LimitReached) != (len(open) >= maxConnections && verdict != Accepted) {
					rt.Fatalf("verdict %q with %d of %d open", verdict, len(open), maxConnections)
				}
			} else {
				i := rapid.IntRange(0, len(open)-1).Draw(rt, "connection to close")
				l.Closed(open[i])
				open = append(open[:i], open[i+1:]...)
			}
			if l.open != len(open) {
				rt.Fatalf("limiter counts %d open, want %d", l.open, len(open))
			}
			if len(l.sources) > 2*maxConnections+1 {
				rt.Fatalf("%d sources tracked, want at most %d", len(l.sources), 2*maxConnections+1)
			}
		}
	})
}
