package e2e

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"

	"docksail/internal/h2"
	"docksail/internal/lab/scenario"
)

const (
	slowClientWindow = 2048    // bytes; flow-control window of the stream
	maxHeapGrowth    = 4 << 20 // bytes
)

// slowClient is a client that reads frames but never extends the flow-control window of its stream.
type slowClient struct {
	mu       sync.Mutex
	socket   net.Conn
	conn     *h2.Conn
	received int // bytes of messages with their prefixes
}

// startSlowClient sends a request for a long answer and reads frames in the background until the test ends.
func startSlowClient(t *testing.T, address string) *slowClient {
	t.Helper()
	socket, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	limits := h2.DefaultLimits
	limits.StreamWindow = slowClientWindow
	c := &slowClient{socket: socket}
	c.conn = h2.NewClientConn(limits, c)
	stream := c.conn.OpenStream("/docksail.v1.Generation/Generate", "there", 0)
	request := newRequest("slow")
	request.MaxTokens = 60000
	message, err := proto.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	stream.SendMessage(message, true)
	if _, err := socket.Write(c.conn.TakeOutput()); err != nil {
		t.Fatal(err)
	}
	go c.read()
	return c
}

// read passes input to the connection until the socket is closed.
func (c *slowClient) read() {
	buffer := make([]byte, 32<<10)
	for {
		n, err := c.socket.Read(buffer)
		if err != nil {
			return
		}
		if err := c.feed(buffer[:n]); err != nil {
			return
		}
	}
}

func (c *slowClient) feed(input []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.conn.Feed(1, input) // after an error the output has a GOAWAY frame
	_, err := c.socket.Write(c.conn.TakeOutput())
	return err
}

func (c *slowClient) receivedBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// MessageReceived counts the bytes of a message and its prefix, and retains them in the window.
func (c *slowClient) MessageReceived(_ *h2.Stream, message []byte) bool {
	const prefixBytes = 5
	c.received += len(message) + prefixBytes
	return true
}

// The other events are ignored.

func (c *slowClient) HeadersReceived(*h2.Stream, *h2.Header)                    {}
func (c *slowClient) RequestEnded(*h2.Stream)                                   {}
func (c *slowClient) StreamFinished(*h2.Stream, codes.Code, string, *h2.Header) {}
func (c *slowClient) StreamReset(*h2.Stream, http2.ErrCode, bool)               {}
func (c *slowClient) StreamFlushed(*h2.Stream)                                  {}
func (c *slowClient) GoAwayReceived()                                           {}
func (c *slowClient) PingAcked()                                                {}

// TestClientStopsReading checks that flow control stops the decode server of a client that does not read, that other
// clients are not delayed, and that the heap does not grow.
func TestClientStopsReading(t *testing.T) {
	deployment, client := startDeployment(t,
		func(s *scenario.Script) { s.Servers[1].TokenInterval = 200 * time.Microsecond })
	slow := startSlowClient(t, deployment.Addresses()[0])
	measureRequest := func(label string) time.Duration {
		start := time.Now()
		got := generate(context.Background(), client, newRequest(label))
		if got.status.Code() != codes.OK || got.tokens == 0 {
			t.Errorf("%s: %d tokens, %v, want tokens and OK", label, got.tokens, got.status)
		}
		return time.Since(start)
	}
	measureRequest("first")
	heapBefore := heapBytes()
	for i := range 10 {
		if elapsed := measureRequest(fmt.Sprint("other", i)); elapsed > time.Second {
			t.Errorf("another client's request took %v, want at most 1 s", elapsed)
		}
	}
	time.Sleep(300 * time.Millisecond)
	if received := slow.receivedBytes(); received == 0 || received > slowClientWindow {
		t.Errorf("the slow client received %d bytes, want some and at most its window of %d",
			received, slowClientWindow)
	}
	if !waitUntilRelayStops(deployment, 15*time.Second) {
		t.Error("messages were still relayed after 15 s, want flow control to stop them")
	}
	if growth := int64(heapBytes()) - int64(heapBefore); growth > maxHeapGrowth {
		t.Errorf("heap grew by %d bytes", growth)
	}
}

// waitUntilRelayStops waits until the dispatcher relays no messages for a while, because all windows are full. It
// reports false after the timeout.
func waitUntilRelayStops(deployment *scenario.Deployment, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		relayed := deployment.Counts().Messages
		time.Sleep(300 * time.Millisecond)
		if deployment.Counts().Messages == relayed {
			return true
		}
	}
	return false
}
