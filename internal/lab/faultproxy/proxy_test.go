package faultproxy

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// startEcho starts a server that sends back what it receives, and returns its address.
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
				_, _ = io.Copy(conn, conn) // ends with the connection
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

// echo sends text and reads it back. It returns an error if that takes longer than the timeout.
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

// TestBytesPass checks that bytes pass unchanged, also one at a time.
func TestBytesPass(t *testing.T) {
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
	begin := time.Now()
	if err := echo(t, conn, "late", echoTimeout); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(begin); took < 60*time.Millisecond {
		t.Errorf("there and back in %v, want 60ms at least", took)
	}
}

// TestBlackhole checks that no bytes pass a blackhole and that connections made after it work.
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

// TestBlackholeOpenConns checks that only the connections that are open lose their bytes.
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

// TestResetConns checks that open connections end and that new ones pass.
func TestResetConns(t *testing.T) {
	p := startProxy(t)
	conn := dial(t, p)
	if err := echo(t, conn, "before", echoTimeout); err != nil {
		t.Fatal(err)
	}
	p.ResetConns()
	err := echo(t, conn, "lost", echoTimeout)
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v, want the connection reset", err)
	}
	if err := echo(t, dial(t, p), "new", echoTimeout); err != nil {
		t.Error(err)
	}
}
