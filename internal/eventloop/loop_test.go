package eventloop

import (
	"bytes"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// peer is a handler that keeps what happens; only the loop touches it.
type peer struct {
	c       *Conn
	opened  int
	got     []byte
	done    bool
	drained int
	closed  int
	err     error
	onData  func(p []byte)
}

func (p *peer) Opened(Nanos) { p.opened++ }
func (p *peer) Received(_ Nanos, b []byte) {
	if p.onData != nil {
		p.onData(b)
		return
	}
	p.got = append(p.got, b...)
}
func (p *peer) PeerHalfClosed(Nanos)      { p.done = true }
func (p *peer) OutputFlushed(Nanos)       { p.drained++ }
func (p *peer) Closed(_ Nanos, err error) { p.closed++; p.err = err }

var any4 = netip.MustParseAddrPort("127.0.0.1:0")

// running gives a loop on its own goroutine, and a way to run a call on it and wait.
func running(t *testing.T) (*Loop, func(func())) {
	t.Helper()
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := l.Run(nil); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		l.Stop()
		<-done
		l.Close()
	})
	return l, func(f func()) {
		got := make(chan struct{})
		for end := time.Now().Add(10 * time.Second); !l.Post(func() { f(); close(got) }); time.Sleep(time.Millisecond) {
			if time.Now().After(end) { // it may be full for a moment
				t.Fatal("the loop takes no calls")
			}
		}
		<-got
	}
}

// TestEndsBeforeRound that are known are told before the round of their turn.
func TestEndsBeforeRound(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	late, gone := 0, 0
	here, there := &peer{}, &peer{}
	ln, err := l.Listen(any4, false, func(c *Conn, _ netip.AddrPort) Handler {
		here.c = c
		here.onData = func([]byte) { c.Close() }
		return here
	})
	if err != nil {
		t.Fatal(err)
	}
	if there.c, err = l.Dial(ln.Addr(), int64(time.Second), there); err != nil {
		t.Fatal(err)
	}
	there.c.Write([]byte("x"))
	var end Timer
	l.SetTimer(&end, int64(5*time.Second), func(Nanos) { l.Stop() })
	l.Run(func(Nanos) {
		late += len(l.closedConns)
		if gone += here.closed; gone > 0 {
			l.Stop()
		}
	})
	if gone == 0 || late > 0 {
		t.Errorf("%d ends were told, %d came after a round", gone, late)
	}
}

// until waits for something that the loop sees.
func until(t *testing.T, on func(func()), what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		var ok bool
		if on(func() { ok = f() }); ok {
			return
		}
	}
	t.Fatalf("not within 10 s: %s", what)
}

func listen(t *testing.T, l *Loop, on func(func()), h func(c *Conn) Handler) *Listener {
	t.Helper()
	var ln *Listener
	var err error
	on(func() { ln, err = l.Listen(any4, false, func(c *Conn, _ netip.AddrPort) Handler { return h(c) }) })
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

func TestEchoThroughSmallWrites(t *testing.T) {
	l, on := running(t)
	ln := listen(t, l, on, func(c *Conn) Handler {
		p := &peer{c: c}
		p.onData = func(b []byte) { c.Write(b) }
		return p
	})
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	want := bytes.Repeat([]byte("docksail "), 200000)
	go func() {
		for p := want; len(p) > 0; {
			n := min(len(p), 1777)
			c.Write(p[:n])
			p = p[n:]
		}
	}()
	got := make([]byte, len(want))
	c.SetDeadline(time.Now().Add(20 * time.Second))
	for n := 0; n < len(got); {
		m, err := c.Read(got[n:])
		if err != nil {
			t.Fatal(err)
		}
		n += m
	}
	if !bytes.Equal(got, want) {
		t.Fatal("what came back is not what was sent")
	}
}

// TestSlowPeerHoldsNobodyUp: a peer that takes nothing fills its own queue to its bound and is closed; another on
// the same loop is served meanwhile.
func TestSlowPeerHoldsNobodyUp(t *testing.T) {
	l, on := running(t)
	var peers []*peer
	ln := listen(t, l, on, func(c *Conn) Handler {
		p := &peer{c: c}
		c.SetOutputLimit(1 << 20)
		p.onData = func(b []byte) { c.Write(b) }
		peers = append(peers, p)
		return p
	})
	stuck, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer stuck.Close()
	stuck.(*net.TCPConn).SetReadBuffer(4 << 10)
	until(t, on, "first accepted", func() bool { return len(peers) == 1 })
	quick, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer quick.Close()
	until(t, on, "second accepted", func() bool { return len(peers) == 2 })
	chunk := make([]byte, 64<<10)
	buf := make([]byte, 4)
	over := false
	for i := 0; i < 2000 && !over; i++ {
		on(func() {
			peers[0].c.Write(chunk)
			if q := peers[0].c.QueuedBytes(); q > 1<<20+len(chunk) {
				t.Errorf("%d bytes queued, bound is %d", q, 1<<20)
			}
			over = peers[0].closed > 0
		})
		quick.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := quick.Write([]byte("ping")); err != nil {
			t.Fatal(err)
		}
		if _, err := quick.Read(buf); err != nil {
			t.Fatalf("the quick peer got no answer: %v", err)
		}
	}
	if !over {
		t.Fatal("the stuck peer was never given up")
	}
	on(func() {
		if !errors.Is(peers[0].err, ErrOutputLimit) {
			t.Errorf("closed with %v, want %v", peers[0].err, ErrOutputLimit)
		}
		if peers[1].closed > 0 {
			t.Error("the quick peer was closed too")
		}
	})
}

func TestRefusedConnect(t *testing.T) {
	l, on := running(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	to := netip.MustParseAddrPort(ln.Addr().String())
	ln.Close()
	p := &peer{}
	on(func() {
		if _, err := l.Dial(to, int64(time.Second), p); err != nil {
			t.Error(err)
		}
	})
	until(t, on, "told of the refusal", func() bool { return p.closed == 1 })
	on(func() {
		if !errors.Is(p.err, unix.ECONNREFUSED) || p.opened != 0 {
			t.Errorf("opened %d times, closed with %v, want ECONNREFUSED", p.opened, p.err)
		}
	})
}

// What the system says of a peer at once, before any packet, ends the connection as what it says later does: the caller
// learns from Closed that the peer can't be reached, and takes it for no fault of its own.
func TestUnreachableAtOnce(t *testing.T) {
	l, on := running(t)
	p := &peer{}
	on(func() {
		c, err := l.Dial(netip.MustParseAddrPort("127.255.255.255:9"), int64(time.Second), p) // a broadcast address: the call itself fails
		if err != nil {
			t.Error(err)
			return
		}
		if c.IsOpen() || p.closed != 0 {
			t.Errorf("open %v, told %d times within the call", c.IsOpen(), p.closed)
		}
	})
	until(t, on, "told", func() bool { return p.closed == 1 })
	on(func() {
		if !errors.Is(p.err, unix.ENETUNREACH) || p.opened != 0 {
			t.Errorf("opened %d times, closed with %v, want ENETUNREACH", p.opened, p.err)
		}
	})
}

// TestConnectThatNeverFinishes: a listener whose queue is full answers no more connects.
func TestConnectThatNeverFinishes(t *testing.T) {
	l, on := running(t)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(fd)
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	sa, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	to := addrPort(sa)
	var ps []*peer
	on(func() {
		for range 8 {
			p := &peer{}
			ps = append(ps, p)
			if _, err := l.Dial(to, int64(300*time.Millisecond), p); err != nil {
				t.Error(err)
			}
		}
	})
	until(t, on, "a connect ends by its time", func() bool {
		for _, p := range ps {
			if errors.Is(p.err, os.ErrDeadlineExceeded) && p.opened == 0 {
				return true
			}
		}
		return false
	})
}

func TestHalfClose(t *testing.T) {
	l, on := running(t)
	var p *peer
	ln := listen(t, l, on, func(c *Conn) Handler { p = &peer{c: c}; return p })
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write([]byte("last words"))
	c.(*net.TCPConn).CloseWrite()
	until(t, on, "end of the peer's half", func() bool { return p != nil && p.done })
	on(func() {
		if string(p.got) != "last words" || p.closed > 0 {
			t.Errorf("got %q, closed %d times: want all bytes and an open half", p.got, p.closed)
		}
		p.c.Write([]byte("answer"))
		p.c.CloseAfterFlush()
	})
	c.SetDeadline(time.Now().Add(5 * time.Second))
	buf := make([]byte, 16)
	n, _ := c.Read(buf)
	if string(buf[:n]) != "answer" {
		t.Fatalf("read %q after half-close, want the answer", buf[:n])
	}
	until(t, on, "closed", func() bool { return p.closed == 1 })
}

func TestReset(t *testing.T) {
	l, on := running(t)
	var p *peer
	ln := listen(t, l, on, func(c *Conn) Handler { p = &peer{c: c}; return p })
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	until(t, on, "accepted", func() bool { return p != nil })
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
	until(t, on, "reset", func() bool { return p.closed == 1 && p.err != nil })
}

// TestOutOfDescriptors: with no descriptor left the waiting client is closed at once, the loop does not spin, and
// accepts again when there are some.
func TestOutOfDescriptors(t *testing.T) {
	l, on := running(t)
	var accepted atomic.Int64
	ln := listen(t, l, on, func(c *Conn) Handler { accepted.Add(1); return &peer{c: c} })
	to := ln.Addr().String()
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	client, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(client)
	// Take every descriptor that is left under a low limit.
	low := limit
	low.Cur = uint64(client) + 8
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &low); err != nil {
		t.Fatal(err)
	}
	var taken []int
	for {
		fd, err := unix.Dup(client)
		if err != nil {
			break
		}
		taken = append(taken, fd)
	}
	free := func() {
		for _, fd := range taken {
			unix.Close(fd)
		}
		taken = nil
		unix.Setrlimit(unix.RLIMIT_NOFILE, &limit)
	}
	defer free()
	at := netip.MustParseAddrPort(to)
	if err := unix.Connect(client, sockaddr(at)); err != nil {
		t.Fatal(err)
	}
	unix.SetsockoptTimeval(client, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &unix.Timeval{Sec: 5})
	var b [1]byte
	if n, err := unix.Read(client, b[:]); n > 0 || err == unix.EAGAIN {
		t.Errorf("read %d, %v: want the connection closed at once", n, err)
	}
	until(t, on, "rest", func() bool { return l.AcceptPauseCount() > 0 })
	time.Sleep(120 * time.Millisecond)
	var rests uint64
	on(func() { rests = l.AcceptPauseCount() })
	if rests > 10 {
		t.Errorf("shed %d times in 120 ms: the loop spins", rests)
	}
	free()
	c, err := net.DialTimeout("tcp", to, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	until(t, on, "accepted again", func() bool { return accepted.Load() > 0 })
}

// Where the machine, not the process, is short of something for a moment, whoever waits is accepted once that is over, and nobody is
// closed unread.
func TestAcceptFailsForAMoment(t *testing.T) {
	for _, want := range []unix.Errno{unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ECONNABORTED, unix.EPROTO} {
		t.Run(want.Error(), func(t *testing.T) {
			l, on := running(t)
			var accepted atomic.Int64
			ln := listen(t, l, on, func(c *Conn) Handler { accepted.Add(1); return &peer{c: c} })
			calls := 0
			on(func() {
				ln.accept4 = func(fd, flags int) (int, unix.Sockaddr, error) {
					if calls++; calls == 1 {
						return -1, nil, want
					}
					return unix.Accept4(fd, flags)
				}
			})
			c, err := net.DialTimeout("tcp", ln.Addr().String(), 5*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			until(t, on, "accepted", func() bool { return accepted.Load() == 1 })
		})
	}
}

func TestTimers(t *testing.T) {
	ts := newTimerQueue()
	var fired []int
	mk := make([]Timer, 3000)
	for i := range mk {
		ts.set(&mk[i], int64(10000-i), func(Nanos) { fired = append(fired, i) })
	}
	for i := 0; i < len(mk); i += 3 {
		ts.cancel(&mk[i])
	}
	for i := 1; i < len(mk); i += 3 {
		ts.set(&mk[i], int64(20000+i), func(Nanos) { fired = append(fired, i) })
	}
	ts.fireDue(10000)
	if len(fired) != 1000 {
		t.Fatalf("%d fired at 10000, want the 1000 that were neither moved nor taken back", len(fired))
	}
	for i := 1; i < len(fired); i++ {
		if fired[i] > fired[i-1] {
			t.Fatal("fired out of order")
		}
	}
	fired = nil
	ts.fireDue(1 << 40)
	if len(fired) != 1000 || fired[0] != 1 {
		t.Fatalf("%d fired later, first %v, want 1000 from 1 on", len(fired), fired[:1])
	}
	// A timer that sets itself for a time already past waits for the next turn.
	n := 0
	var again Timer
	var f func(Nanos)
	f = func(Nanos) { n++; ts.set(&again, 0, f) }
	ts.set(&again, 0, f)
	ts.fireDue(1 << 41)
	if n != 1 {
		t.Fatalf("fired %d times in one turn", n)
	}
}

func TestPostFromMany(t *testing.T) {
	l, on := running(t)
	var ran, taken atomic.Int64
	done := make(chan struct{})
	for range 8 {
		go func() {
			for range 5000 {
				if l.Post(func() { ran.Add(1) }) {
					taken.Add(1)
				}
			}
			done <- struct{}{}
		}()
	}
	for range 8 {
		<-done
	}
	dropped := int64(l.DroppedPosts()) // before what the test itself posts
	until(t, on, "all calls that were taken have run", func() bool { return ran.Load() == taken.Load() })
	if taken.Load()+dropped != 40000 {
		t.Errorf("%d taken and %d dropped of 40000", taken.Load(), dropped)
	}
}

// Calls of many goroutines at once are all taken while there is room, and the next one is refused and counted.
func TestPostRefusesOnlyWhenFull(t *testing.T) {
	l, err := New() // it does not turn: nothing is taken out
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range maxPendingPosts / 8 {
				l.Post(func() {})
			}
		})
	}
	group.Wait()
	if n := l.DroppedPosts(); n != 0 {
		t.Errorf("%d calls were refused while there was room", n)
	}
	if l.Post(func() {}) || l.DroppedPosts() != 1 {
		t.Errorf("with no room left: %d refused, want 1", l.DroppedPosts())
	}
}

// A loop with nothing to do turns now and then: a collection that stops all goroutines may have to wait for it.
func TestWaitIsBounded(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if got := l.waitMillis(); got != 100 {
		t.Errorf("without timers it waits %d ms, want 100", got)
	}
	var timer Timer
	l.SetTimer(&timer, l.ReadClock()+3600e9, func(Nanos) {})
	if got := l.waitMillis(); got != 100 {
		t.Errorf("with a timer far off it waits %d ms, want 100", got)
	}
	l.SetTimer(&timer, l.ReadClock(), func(Nanos) {})
	if got := l.waitMillis(); got != 0 {
		t.Errorf("with a timer due it waits %d ms, want 0", got)
	}
}

// accepted gives a loop that has accepted one connection for each handler, in order, and the peers' ends; it has not
// turned since.
func accepted(t *testing.T, handlers ...*peer) (*Loop, []*net.TCPConn) {
	t.Helper()
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	n := 0
	ln, err := l.Listen(any4, false, func(c *Conn, _ netip.AddrPort) Handler {
		p := handlers[n]
		p.c = c
		n++
		return p
	})
	if err != nil {
		t.Fatal(err)
	}
	var ends []*net.TCPConn
	for range handlers {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		ends = append(ends, c.(*net.TCPConn))
		turn(t, l, func() bool { return n == len(ends) })
	}
	return l, ends
}

// turn turns the loop until something holds.
func turn(t *testing.T, l *Loop, until func() bool) {
	t.Helper()
	var end Timer
	late := false
	l.SetTimer(&end, l.ReadClock()+int64(10*time.Second), func(Nanos) { late = true; l.Stop() })
	if err := l.Run(func(Nanos) {
		if l.SkipNextWait(); until() {
			l.Stop()
		}
	}); err != nil {
		t.Fatal(err)
	}
	l.CancelTimer(&end)
	l.stopped.Store(false)
	if late {
		t.Fatal("not within 10 s")
	}
}

// A peer's end that has come with its last bytes is told in the same turn, before the round decides on them.
func TestEndWithLastBytes(t *testing.T) {
	p := &peer{}
	l, ends := accepted(t, p)
	ends[0].Write(make([]byte, 1000))
	ends[0].CloseWrite()
	// Both are in the socket by now: loopback delivers within the call.
	turn(t, l, func() bool {
		if len(p.got) > 0 && !p.done {
			t.Errorf("the round came after %d bytes, before the end", len(p.got))
		}
		return len(p.got) > 0
	})
	if len(p.got) != 1000 {
		t.Errorf("%d bytes, want all 1000", len(p.got))
	}
}

// An event that epoll reported for a descriptor closed earlier in the turn does not reach the connection that got the
// descriptor next: it would be taken for connected.
func TestDescriptorUsedAgainInTurn(t *testing.T) {
	full, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0) // its queue is filled: connections to it stay under way
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(full)
	if err := unix.Bind(full, sockaddr(any4)); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(full, 0); err != nil {
		t.Fatal(err)
	}
	bound, _ := unix.Getsockname(full)
	filler, err := net.Dial("tcp", addrPort(bound).String())
	if err != nil {
		t.Fatal(err)
	}
	defer filler.Close()

	first, second, dialed := &peer{}, &peer{}, &peer{}
	l, ends := accepted(t, first, second)
	swap := func(own, other *peer) func([]byte) {
		return func([]byte) {
			if dialed.c != nil {
				return
			}
			fd := other.c.fd
			other.c.Close()
			if dialed.c, err = l.Dial(addrPort(bound), int64(time.Second), dialed); err != nil {
				t.Fatal(err)
			}
			if dialed.c.fd != fd {
				t.Fatalf("descriptor %d, want %d again", dialed.c.fd, fd)
			}
		}
	}
	first.onData, second.onData = swap(first, second), swap(second, first) // whichever event comes first
	for _, p := range []*peer{first, second} {                             // they wait for room, so that room is reported
		p.c.Write(make([]byte, 16<<20))
	}
	turn(t, l, func() bool { return first.c.WriteBlocked() && second.c.WriteBlocked() })
	for _, c := range ends {
		c.Write([]byte("x"))
		go func() {
			var b [64 << 10]byte
			for {
				if _, err := c.Read(b[:]); err != nil {
					return
				}
			}
		}()
	}
	for _, p := range []*peer{first, second} { // both events of both are there when the loop turns
		const both = unix.POLLIN | unix.POLLOUT
		for fds := []unix.PollFd{{Fd: int32(p.c.fd), Events: both}}; fds[0].Revents&both != both; {
			unix.Poll(fds, 1000)
		}
	}
	turn(t, l, func() bool { return dialed.c != nil })
	turns := 0
	turn(t, l, func() bool { turns++; return turns > 3 })
	if dialed.opened > 0 {
		t.Error("a connection under way was taken for made")
	}
}
