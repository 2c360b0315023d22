// Package eventlog records the events that the stand-in clients, servers and dispatchers of a run observe on their
// connections. The invariant checker reads only this log.
package eventlog

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// Kind is the kind of an entry. Its values are part of the file format and must not change.
type Kind string

// The kinds of entries.
const (
	// RequestSent records that a client sent or retried a request.
	RequestSent Kind = "asked"
	// FirstToken records that a client received its first token.
	FirstToken Kind = "token"
	// RequestAnswered records that a client received a final answer; Code is its status.
	RequestAnswered Kind = "final"
	// RequestCanceled records that a client canceled its request.
	RequestCanceled Kind = "quit"
	// RequestUnanswered records that a request timed out or lost its connection before a final answer.
	RequestUnanswered Kind = "unanswered"
	// AttemptSent records that an attempt was sent to a server; Note is NotePrefill or NoteDecode.
	AttemptSent Kind = "sent"
	// AttemptEnded records the end of an attempt; Code is its status, if there is one, and Note how it ended.
	AttemptEnded Kind = "ended"
	// StateHeld records that a prefill server holds the KV state of a request.
	StateHeld Kind = "held"
	// StateReleased records that a server no longer holds a KV state; Note is the reason.
	StateReleased Kind = "letgo"
	// AnswerStarted records that a server started the answer to a request.
	AnswerStarted Kind = "ran"
	// EndpointNotified records that the discovery server sent the state of a server to a dispatcher; Note is the
	// server's health and Value the start time of its process.
	EndpointNotified Kind = "told"
	// ServerStarted records the start of the process of a server.
	ServerStarted Kind = "start"
	// ServerOverloaded records that a server failed from too much load during slow start.
	ServerOverloaded Kind = "toppled"
	// FaultChanged records that a fault began or ended.
	FaultChanged Kind = "trouble"
	// DispatcherStarted records the start of a dispatcher.
	DispatcherStarted Kind = "up"
	// DispatcherStopped records that a dispatcher was killed or has drained.
	DispatcherStopped Kind = "down"
	// ServerLoad records a sample of the load of a server. Value is the number of queued prompt tokens, ClientAttempt
	// the number of requests and Attempt the memory utilization in thousandths.
	ServerLoad Kind = "figures"
)

// Values of Entry.Note. They are part of the file format.
const (
	// NotePrefill and NoteDecode are the phases of an AttemptSent entry.
	NotePrefill = "read"
	NoteDecode  = "write"
	// NoteRefused marks an AttemptEnded entry of an attempt that the server refused before it started.
	NoteRefused = "refused"
	// NotePartitioned and NoteReconnected mark FaultChanged entries for the start and the end of a server's partition.
	NotePartitioned = "cut"
	NoteReconnected = "uncut"
	// NoteFaultBegins and NoteFaultEnds mark FaultChanged entries of a scripted fault; Code is its kind.
	NoteFaultBegins = "begins"
	NoteFaultEnds   = "ends"
)

// Entry is one observed event. All times are Unix nanoseconds of the same clock.
type Entry struct {
	At            int64  `json:"at"`
	Kind          Kind   `json:"kind"`
	Request       string `json:"job,omitempty"` // the dispatcher's identifier of the request
	Attempt       int    `json:"shot,omitempty"`
	Server        int    `json:"host,omitempty"`
	RequestLabel  string `json:"label,omitempty"` // the client's identifier of the request
	ClientAttempt int    `json:"try,omitempty"`   // number of the client's attempt, from 0
	Class         string `json:"track,omitempty"`
	Tenant        string `json:"tenant,omitempty"`
	Code          string `json:"code,omitempty"`
	Note          string `json:"note,omitempty"`
	Value         int64  `json:"n,omitempty"`
	Dispatcher    int    `json:"disp,omitempty"` // index of the dispatcher, from 0
	Deadline      int64  `json:"by,omitempty"`   // of the client's attempt
}

// Log collects entries. It is safe for concurrent use. The zero value is an empty log ready to use.
type Log struct {
	// Clock returns the current time in Unix nanoseconds; if nil, the system clock is used.
	Clock func() int64

	mu      sync.Mutex
	entries []Entry
}

// Add appends an entry. If the entry has no time, Add sets the current one. On a nil Log it does nothing.
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

// Entries returns a copy of all entries so far, sorted by time. Entries of the same time keep the order of their
// addition.
func (l *Log) Entries() []Entry {
	l.mu.Lock()
	entries := slices.Clone(l.entries)
	l.mu.Unlock()
	slices.SortStableFunc(entries, func(a, b Entry) int { return cmp.Compare(a.At, b.At) })
	return entries
}

// Write writes entries as JSON, one per line.
func Write(w io.Writer, entries []Entry) error {
	encoder := json.NewEncoder(w)
	for _, e := range entries {
		if err := encoder.Encode(e); err != nil {
			return err
		}
	}
	return nil
}

// Read reads entries in the format of Write. If the input ends in the middle of an entry, it returns the complete
// entries before it and an error with the number of the incomplete one.
func Read(r io.Reader) ([]Entry, error) {
	var entries []Entry
	decoder := json.NewDecoder(r)
	for {
		var e Entry
		err := decoder.Decode(&e)
		if errors.Is(err, io.EOF) {
			return entries, nil
		}
		if err != nil {
			return entries, fmt.Errorf("entry %d: %w", len(entries)+1, err)
		}
		entries = append(entries, e)
	}
}
