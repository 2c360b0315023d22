package soak

import (
	"fmt"
	"sync"
	"time"
)

const (
	// crowdMargin is the number of idle clients of a crowd beyond the descriptors of a dispatcher.
	crowdMargin = 10
	// crowdDeadline is the time for which the clients of a crowd wait for the first token.
	crowdDeadline = 2 * time.Second
)

// crowd silences discovery for a duration. Meanwhile idle clients fill the descriptors of all dispatchers; afterwards
// those whose connections are still open send a request at once.
func (f *Fleet) crowd(duration time.Duration) {
	f.SetDiscoverySilent(true)
	var clients []*Client
	for _, d := range f.Dispatchers {
		for range f.MaxDescriptors + crowdMargin {
			client := NewClient(f)
			if client.connect(d) == nil {
				clients = append(clients, client)
			}
		}
	}
	time.Sleep(duration)
	f.SetDiscoverySilent(false)
	f.mu.Lock()
	f.crowdCount++
	crowd := f.crowdCount
	f.mu.Unlock()
	var sending sync.WaitGroup
	for n, client := range clients {
		sending.Go(func() {
			defer client.Close()
			client.sendCrowdRequest(fmt.Sprintf("c%07x%08x", crowd, n))
		})
	}
	sending.Wait()
}

// sendCrowdRequest sends a request on the open connection, which may be shut unread, and checks its answer.
func (c *Client) sendCrowdRequest(id string) {
	request := Request{ID: id, Session: id, Remaining: crowdDeadline, Class: effectIdempotent}
	if err := c.Send(c.dispatcher, request); err == nil {
		c.checkAnswer(id, c.ReceiveAnswer(request))
	}
}
