package soak

import (
	"fmt"
	"maps"
	"net"
	"strings"
	"sync"
	"time"
)

// PressureKind is a way in which a group of clients burdens a dispatcher.
type PressureKind int

// The kinds of pressure.
const (
	// LargeRequests are complete requests of nearly the largest size, each followed by another once it is answered.
	LargeRequests PressureKind = iota
	// ManyFields are complete requests whose head consists of thousands of short fields.
	ManyFields
	// HalfRequests are the first halves of large requests. Their clients then wait for an answer or the close.
	HalfRequests
	// HalfHeads are heads of thousands of short fields that do not end.
	HalfHeads
	// SlowReaders are requests with long answers, which their clients read slowly.
	SlowReaders
	// SlowWriters are large requests that are written slowly.
	SlowWriters
	// Flood is small requests at full speed, pipelined on one connection for each client, each with new names.
	Flood
	// InvalidFlood is malformed requests at full speed, on a new connection whenever the last one was closed.
	InvalidFlood
	// SmallRequests are complete small requests, each followed by another once it is answered.
	SmallRequests
	// ConnectionStorm is connections that are closed as soon as they have sent something, in turns a part of a request, a
	// malformed one and a whole one, without a look at the answer.
	ConnectionStorm
	// Deserters pipeline several requests on one connection and close it at a random moment.
	Deserters

	PressureKindCount
)

var pressureNames = [PressureKindCount]string{
	LargeRequests:   "large requests",
	ManyFields:      "requests of many fields",
	HalfRequests:    "half requests",
	HalfHeads:       "half heads of many fields",
	SlowReaders:     "slow readers",
	SlowWriters:     "slow writers",
	Flood:           "a flood of small requests",
	InvalidFlood:    "a flood of malformed requests",
	SmallRequests:   "small requests",
	ConnectionStorm: "a storm of connections",
	Deserters:       "clients that leave with requests unread",
}

// String returns the name of the kind in words.
func (k PressureKind) String() string { return pressureNames[k] }

// pressureIDPrefix begins the IDs of all requests of a pressure.
const pressureIDPrefix = "f"

// IsPressureID reports whether a request ID belongs to a request of the given kind of pressure.
func IsPressureID(id string, kind PressureKind) bool {
	return strings.HasPrefix(id, fmt.Sprintf("%s%x", pressureIDPrefix, int(kind)))
}

// Pressure is a group of clients that burden one dispatcher.
type Pressure struct {
	Kind       PressureKind
	Clients    int
	Dispatcher *Dispatcher
	// Pause is how long a client waits after a refusal, and before it connects again; 0 = reconnectDelay.
	Pause time.Duration

	mu            sync.Mutex
	statuses      map[int]int // answers by status; 0 = closed without a complete answer
	longestAnswer time.Duration
	lastID        int
	number        int // distinguishes the pressures of a fleet
	incarnation   int // of the dispatcher, at the last ID
}

// Run runs the clients for a duration.
func (p *Pressure) Run(duration time.Duration) {
	p.statuses, p.number = map[int]int{}, p.Dispatcher.fleet.nextPressure()
	end := time.Now().Add(duration)
	var clients sync.WaitGroup
	for n := range p.Clients {
		clients.Go(func() { p.runClient(n, end) })
	}
	clients.Wait()
}

// Statuses returns how many answers had each status; 0 counts connections that ended without an answer.
func (p *Pressure) Statuses() map[int]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.statuses)
}

func (p *Pressure) count(status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statuses[status]++
}

// LongestAnswer returns the longest time from the last byte of a complete request to the end of its answer, for the
// kinds whose clients send one request after another.
func (p *Pressure) LongestAnswer() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.longestAnswer
}

// noteAnswer counts the answer to a request whose last byte was written at sentAt.
func (p *Pressure) noteAnswer(status int, sentAt time.Time) {
	p.count(status)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.longestAnswer = max(p.longestAnswer, time.Since(sentAt))
}

// nextID returns a new request ID.
func (p *Pressure) nextID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	incarnation := p.Dispatcher.Incarnation()
	group := fmt.Sprintf("%s%x%03x%x", pressureIDPrefix, int(p.Kind), p.number&0xfff, incarnation&0xf)
	if incarnation != p.incarnation {
		p.incarnation = incarnation
		p.Dispatcher.fleet.Oracle.RegisterGroup(group, p.Dispatcher.Name)
	}
	return fmt.Sprintf("%s%010x", group, p.lastID)
}

// runClient runs one client until end. It connects again whenever its connection has ended.
func (p *Pressure) runClient(n int, end time.Time) {
	for time.Now().Before(end) {
		conn, err := net.DialTimeout("tcp", p.Dispatcher.Addr, dialTimeout)
		if err != nil {
			time.Sleep(reconnectDelay)
			continue
		}
		_ = conn.SetDeadline(end)
		p.burden(n, conn.(*net.TCPConn), end)
		conn.Close()
		time.Sleep(max(p.Pause, reconnectDelay))
	}
}
