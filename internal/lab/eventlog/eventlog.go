// Package eventlog is what the laboratory's parties write down of what passed on their sockets: the rule checker
// reads nothing else.
package eventlog

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// Kind of an entry.
type Kind string

const (
	RequestSent       Kind = "asked"      // a client sent a try
	FirstToken        Kind = "token"      // a client got its first token
	RequestAnswered   Kind = "final"      // a client got a final answer; Code says which
	RequestCanceled   Kind = "quit"       // a client left by its own will
	RequestUnanswered Kind = "unanswered" // a client's time was up, or its connection lost, without a final answer
	AttemptSent       Kind = "sent"       // a launch passed towards a host; Note says read or write
	AttemptEnded      Kind = "ended"      // the end of a launch passed: by status (Code), reset or closed connection (Note)
	StateHeld         Kind = "held"       // a reader holds the state of a job
	StateReleased     Kind = "letgo"      // it was fetched, let go or ran out; Note says which
	AnswerStarted     Kind = "ran"        // a host began to answer a job
	EndpointNotified  Kind = "told"       // the lister told a dispatcher of a host; Note is its health, N its start
	ServerStarted     Kind = "start"      // a host's process started
	ServerOverloaded  Kind = "toppled"    // a cold host fell over
	FaultChanged      Kind = "trouble"    // the script began or ended one
	DispatcherStarted Kind = "up"         // a dispatcher started
	DispatcherStopped Kind = "down"       // a dispatcher was killed or left
	ServerLoad        Kind = "figures"    // a host's, now and then: N is prompt tokens not read, Try work at hand, Shot memory in use, in thousandths
)

// Entry is one thing that passed. Times are Unix nanoseconds, all on one machine's clock.
type Entry struct {
	At            int64  `json:"at"`
	Kind          Kind   `json:"kind"`
	Request       string `json:"job,omitempty"` // the dispatcher's name for it
	Attempt       int    `json:"shot,omitempty"`
	Server        int    `json:"host,omitempty"`
	RequestLabel  string `json:"label,omitempty"` // the client's name for it
	ClientAttempt int    `json:"try,omitempty"`
	Class         string `json:"track,omitempty"`
	Tenant        string `json:"tenant,omitempty"`
	Code          string `json:"code,omitempty"`
	Note          string `json:"note,omitempty"`
	Value         int64  `json:"n,omitempty"`
	Dispatcher    int    `json:"disp,omitempty"` // which dispatcher, from 0
	Deadline      int64  `json:"by,omitempty"`   // a time that belongs to it: deadline of a try
}

// Log collects entries; any goroutine may write. Its zero value is ready.
type Log struct {
	// Clock gives the present time where it is not the machine's, in Unix nanoseconds.
	Clock func() int64

	mu      sync.Mutex
	entries []Entry
}

// Add writes an entry, at the present time if it has none.
func (l *Log) Add(e Entry) {
	if l == nil {
		return
	}
	if e.At == 0 && l.Clock != nil {
		e.At = l.Clock()
	} else if e.At == 0 {
		e.At = time.Now().UnixNano()
	}
	l.mu.Lock()
	l.entries = append(l.entries, e)
	l.mu.Unlock()
}

// Entries gives all so far, by time.
func (l *Log) Entries() []Entry {
	l.mu.Lock()
	es := slices.Clone(l.entries)
	l.mu.Unlock()
	slices.SortStableFunc(es, func(a, c Entry) int {
		if a.At != c.At {
			return int(min(max(a.At-c.At, -1), 1))
		}
		return 0
	})
	return es
}

// Write writes entries as lines of JSON.
func Write(w io.Writer, es []Entry) error {
	enc := json.NewEncoder(w)
	for _, e := range es {
		if err := enc.Encode(e); err != nil {
			return err
		}
	}
	return nil
}

// Read reads what Write wrote. Of a file whose writer was killed it gives all whole entries, and an error that names
// the first that is not.
func Read(r io.Reader) ([]Entry, error) {
	var es []Entry
	dec := json.NewDecoder(r)
	for {
		var e Entry
		switch err := dec.Decode(&e); err {
		case nil:
			es = append(es, e)
		case io.EOF:
			return es, nil
		default:
			return es, fmt.Errorf("entry %d: %w", len(es)+1, err)
		}
	}
}
