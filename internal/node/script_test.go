package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	exit "docksail/internal/exit/platform"
)

// scriptTimeout ends a script that waits for what does not come.
const scriptTimeout = 10 * time.Second

// peer is a scripted server: the test takes each of its connections and says byte by byte what happens on it, so that
// events meet in the order that the test wants.
type peer struct {
	t     *testing.T
	ln    net.Listener
	conns chan *peerConn
}

// peerConn is one connection of a scripted server or client.
type peerConn struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func newPeer(t *testing.T) *peer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	p := &peer{t: t, ln: ln, conns: make(chan *peerConn, 64)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			select {
			case p.conns <- newPeerConn(t, c):
			default: // nobody takes it
				c.Close()
			}
		}
	}()
	return p
}

func newPeerConn(t *testing.T, c net.Conn) *peerConn {
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(2 * scriptTimeout))
	return &peerConn{t: t, Conn: c, in: bufio.NewReader(c)}
}

// accept gives the next connection.
func (p *peer) accept() *peerConn {
	p.t.Helper()
	select {
	case c := <-p.conns:
		return c
	case <-time.After(scriptTimeout):
		p.t.Fatal("no connection came")
		return nil
	}
}

// idle tells that no connection waits to be taken.
func (p *peer) idle() bool { return len(p.conns) == 0 }

// expect reads up to the end of a text, which has to come, and gives all that came before it and with it.
func (c *peerConn) expect(text string) string {
	c.t.Helper()
	var got strings.Builder
	for !strings.HasSuffix(got.String(), text) {
		b, err := c.in.ReadByte()
		if err != nil {
			c.t.Fatalf("%v after %q, want %q", err, got.String(), text)
		}
		got.WriteByte(b)
	}
	return got.String()
}

// request reads one request with its body and gives its request line.
func (c *peerConn) request() string {
	c.t.Helper()
	head := c.expect("\r\n\r\n")
	if strings.Contains(head, "Content-Length: ") {
		c.expect(body)
	}
	line, _, _ := strings.Cut(head, "\r\n")
	return line
}

func (c *peerConn) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// reset ends the connection as a process that dies does.
func (c *peerConn) reset() {
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// rest reads to the end of the connection.
func (c *peerConn) rest() (string, error) {
	b, err := io.ReadAll(c.in)
	return string(b), err
}

// scriptedHost adds a scripted model host to the list.
func (s *stage) scriptedHost(name, kind string) *peer {
	p := newPeer(s.t)
	s.hosts = append(s.hosts, exit.Server{ID: name, Addr: p.ln.Addr().String(), Zone: "z", Kind: kind, State: "Ready"})
	return p
}

// client gives a connection of a client.
func (s *stage) client() *peerConn { return newPeerConn(s.t, s.dial()) }

// news tells a list over the watch and waits until it has been taken.
func (s *stage) news(list exit.List) {
	s.t.Helper()
	had, _ := s.node.View()
	select {
	case s.watch <- list:
	case <-time.After(scriptTimeout):
		s.t.Fatal("nobody watches")
	}
	until(s.t, "the news", func() bool { v, _ := s.node.View(); return v.Exit.News > had.Exit.News })
}

// listText is the text of a list as discovery writes it.
func listText(list exit.List) string {
	text, _ := json.Marshal(list)
	return string(text)
}

// watchHead begins the answer to a watch.
const watchHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"

func addrOf(p *peer) netip.AddrPort { return netip.MustParseAddrPort(p.ln.Addr().String()) }

// outAt counts the attempts that are out to a host.
func (s *stage) outAt(name string) int {
	v, _ := s.node.View()
	for _, b := range v.Beliefs {
		if b.Name == name {
			return b.Out
		}
	}
	return 0
}

// let has some time pass at the dispatcher.
func (s *stage) let(span time.Duration) {
	begun := time.Now()
	for time.Since(begun) < span {
		s.node.View() // it turns meanwhile
		time.Sleep(time.Millisecond)
	}
}

// fullPeer is a scripted host whose system takes no connection yet: one to it stays under way, and is tried again by the
// other side's system after a second.
type fullPeer struct {
	t      *testing.T
	fd     int
	filler net.Conn
}

func newFullPeer(t *testing.T) *fullPeer {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	p := &fullPeer{t: t, fd: fd}
	t.Cleanup(func() { unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	if p.filler, err = net.Dial("tcp", p.addr()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.filler.Close() })
	return p
}

func (p *fullPeer) addr() string {
	bound, err := unix.Getsockname(p.fd)
	if err != nil {
		p.t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*unix.SockaddrInet4).Port)
}

// take makes room, takes the connection that was under way, and gives what came on it up to its end or the end of a
// request; nothing if it was given up.
func (p *fullPeer) take() string {
	p.t.Helper()
	first, _, err := unix.Accept(p.fd)
	if err != nil {
		p.t.Fatal(err)
	}
	defer unix.Close(first)
	ready := []unix.PollFd{{Fd: int32(p.fd), Events: unix.POLLIN}}
	if n, _ := unix.Poll(ready, 3000); n == 0 { // the other side's system has tried again by then, if it still does
		return ""
	}
	fd, _, err := unix.Accept(p.fd)
	if err != nil {
		p.t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "peer")
	defer f.Close()
	got := make([]byte, 64<<10)
	n, _ := f.Read(got)
	return string(got[:n])
}
