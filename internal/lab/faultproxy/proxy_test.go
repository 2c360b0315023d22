package faultproxy

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// startEcho starts a server that echoes all bytes, and returns its address.
func startEcho(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn) // ends when the connection is closed
			}()
		}
	}()
	return listener.Addr().String()
}

func startProxy(t *testing.T) *Proxy {
	t.Helper()
	p, err := New(startEcho(t), 1, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// echo sends text and waits for its echo. It returns an error after the timeout.
func echo(t *testing.T, conn net.Conn, text string, timeout time.Duration) error {
	t.Helper()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte(text)); err != nil {
		return err
	}
	buf := make([]byte, len(text))
	if _, err := io.ReadFull(conn, buf); err != nil {
		return err
	}
	if string(buf) != text {
		t.Errorf("received %q, want %q", buf, text)
	}
	return nil
}

const (
	echoTimeout      = 5 * time.Second
	blackholeTimeout = 100 * time.Millisecond
)

// TestForwarding checks that bytes are forwarded unchanged, also one at a time.
func TestForwarding(t *testing.T) {
	p := startProxy(t)
	conn := dial(t, p)
	for _, trickle := range []bool{false, true} {
		p.SetTrickle(trickle)
		if err := echo(t, conn, "some bytes", echoTimeout); err != nil {
			t.Errorf("trickle %v: %v", trickle, err)
		}
	}
}

// TestDelay checks that bytes are delayed in both directions.
func TestDelay(t *testing.T) {
	p := startProxy(t)
	conn := dial(t, p)
	p.SetDelay(30 * time.Millisecond)
	start := time.Now()
	if err := echo(t, conn, "late", echoTimeout); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took < 60*time.Millisecond {
		t.Errorf("round trip took %v, want 60ms at least", took)
	}
}

// TestBlackhole checks that a blackhole discards all bytes, and that connections opened after its end work.
func TestBlackhole(t *testing.T) {
	p := startProxy(t)
	conn := dial(t, p)
	if err := echo(t, conn, "before", echoTimeout); err != nil {
		t.Fatal(err)
	}
	p.SetBlackhole(true)
	for name, c := range map[string]net.Conn{"open": conn, "new": dial(t, p)} {
		if err := echo(t, c, "lost", blackholeTimeout); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s connection: %v, want %v", name, err, os.ErrDeadlineExceeded)
		}
	}
	p.SetBlackhole(false)
	if err := echo(t, dial(t, p), "after", echoTimeout); err != nil {
		t.Error(err)
	}
}

// TestBlackholeOpenConns checks that open connections lose their bytes and that new ones work.
func TestBlackholeOpenConns(t *testing.T) {
	p := startProxy(t)
	conn := dial(t, p)
	if err := echo(t, conn, "before", echoTimeout); err != nil {
		t.Fatal(err)
	}
	p.BlackholeOpenConns()
	if err := echo(t, conn, "lost", blackholeTimeout); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("open connection: %v, want %v", err, os.ErrDeadlineExceeded)
	}
	if err := echo(t, dial(t, p), "new", echoTimeout); err != nil {
		t.Error(err)
	}
}

// TestResetConns checks that open connections are reset and that new ones work.
func TestResetConns(t *testing.T) {
	p := startProxy(t)
	conn := dial(t, p)
	if err := echo(t, conn, "before", echoTimeout); err != nil {
		t.Fatal(err)
	}
	p.ResetConns()
	err := echo(t, conn, "lost", echoTimeout)
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("error %v, want the connection reset", err)
	}
	if err := echo(t, dial(t, p), "new", echoTimeout); err != nil {
		t.Error(err)
	}
}

// TestResetWhileDialing guards against a connection to the server that stays open because its client's connection was
// reset while the server was dialed.
func TestResetWhileDialing(t *testing.T) {
	p := startProxy(t)
	dialing, mayConnect := make(chan struct{}), make(chan struct{})
	servers := make(chan net.Conn, 1)
	p.mu.Lock()
	p.dialServer = func() (net.Conn, error) {
		close(dialing)
		<-mayConnect
		here, there := tcpPair(t)
		servers <- there
		return here, nil
	}
	p.mu.Unlock()
	dial(t, p)
	<-dialing
	p.ResetConns()
	close(mayConnect)
	server := <-servers
	if err := server.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := server.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection to the server is open after its client's was reset: %v", err)
	}
}

// tcpPair returns the two ends of a connection.
func tcpPair(t *testing.T) (here, there net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if here, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if there, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { there.Close() })
	return here, there
}
