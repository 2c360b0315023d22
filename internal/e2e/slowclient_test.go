package e2e

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"

	"docksail/internal/h2"
	"docksail/internal/lab/scenario"
)

// TestClientStopsReading: its writer is held back, others run at full pace, memory stays bounded.
func TestClientStopsReading(t *testing.T) {
	deployment, client := startDeployment(t, func(s *scenario.Script) { s.Servers[1].TokenGap = 200 * time.Microsecond })
	raw, err := net.Dial("tcp", deployment.Addresses()[0])
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	lim := h2.DefaultLimits
	lim.StreamWindow = 2048
	app := &slowClientHandler{}
	c := h2.NewClientConn(lim, app)
	s := c.OpenStream("/docksail.v1.Generation/Generate", "there", 0)
	req := newRequest("still")
	req.MaxTokens = 60000
	b, err := proto.Marshal(req)
	if err != nil {
		t.Fatal(err)
	}
	s.SendMessage(b, true)
	raw.Write(c.TakeOutput())
	go func() { // reads frames, but credits nothing
		buf := make([]byte, 32<<10)
		for {
			n, err := raw.Read(buf)
			if err != nil {
				return
			}
			app.mu.Lock()
			c.Feed(1, buf[:n])
			raw.Write(c.TakeOutput())
			app.mu.Unlock()
		}
	}()
	took := func(label string) time.Duration {
		begin := time.Now()
		if n, s, _ := generate(context.Background(), client, newRequest(label)); s.Code() != codes.OK || n == 0 {
			t.Errorf("%s: %d tokens, %v", label, n, s)
		}
		return time.Since(begin)
	}
	took("first")
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 10 {
		if d := took(fmt.Sprint("other", i)); d > time.Second {
			t.Errorf("another client waited %v", d)
		}
	}
	time.Sleep(300 * time.Millisecond)
	app.mu.Lock()
	got := app.got
	app.mu.Unlock()
	if got == 0 || got > 2048 {
		t.Errorf("the still client was sent %d bytes, want up to its window of 2048", got)
	}
	held := false
	for end := time.Now().Add(15 * time.Second); !held && time.Now().Before(end); { // once the windows are full
		relayed := deployment.Counts().Messages
		time.Sleep(300 * time.Millisecond)
		held = deployment.Counts().Messages == relayed
	}
	if !held {
		t.Error("the writer of a client that takes nothing was not held back in 15 s")
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 4<<20 {
		t.Errorf("heap grew by %d bytes", grown)
	}
}

type slowClientHandler struct {
	mu  sync.Mutex
	got int
}

func (a *slowClientHandler) HeadersReceived(*h2.Stream, *h2.Header) {}
func (a *slowClientHandler) MessageReceived(_ *h2.Stream, p []byte) bool {
	a.got += len(p) + 5
	return true
}
func (a *slowClientHandler) RequestEnded(*h2.Stream)                                   {}
func (a *slowClientHandler) StreamFinished(*h2.Stream, codes.Code, string, *h2.Header) {}
func (a *slowClientHandler) StreamReset(*h2.Stream, http2.ErrCode, bool)               {}
func (a *slowClientHandler) StreamFlushed(*h2.Stream)                                  {}
func (a *slowClientHandler) GoAwayReceived()                                           {}
func (a *slowClientHandler) PingAcked()                                                {}
