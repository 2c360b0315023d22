// Package eventlog records what the simulated clients, servers and dispatchers of an experiment observed on their
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

// Kind is the kind of an entry. Its values are part of the file format and keep their original spelling.
type Kind string

// The kinds of entries.
const (
	// RequestSent records that a client sent a request, or repeated it.
	RequestSent Kind = "asked"
	// FirstToken records that a client received its first token.
	FirstToken Kind = "token"
	// RequestAnswered records that a client received a final answer; Code is its status.
	RequestAnswered Kind = "final"
	// RequestCanceled records that a client canceled its request.
	RequestCanceled Kind = "quit"
	// RequestUnanswered records that a request timed out, or lost its connection, without a final answer.
	RequestUnanswered Kind = "unanswered"
	// AttemptSent records an attempt on its way to a server; Note is NotePrefill or NoteDecode.
	AttemptSent Kind = "sent"
	// AttemptEnded records the end of an attempt: with the status Code, or by what Note says.
	AttemptEnded Kind = "ended"
	// StateHeld records that a prefill server holds the KV state of a request.
	StateHeld Kind = "held"
	// StateReleased records that a KV state was fetched, released or expired; Note says which.
	StateReleased Kind = "letgo"
	// AnswerStarted records that a server began to answer a request.
	AnswerStarted Kind = "ran"
	// EndpointNotified records that the discovery server sent a dispatcher a server's state: Note is its health and
	// Value the start time of its process.
	EndpointNotified Kind = "told"
	// ServerStarted records the start of a server's process.
	ServerStarted Kind = "start"
	// ServerOverloaded records that a server failed because it received too much work during slow start.
	ServerOverloaded Kind = "toppled"
	// FaultChanged records that a fault began or ended.
	FaultChanged Kind = "trouble"
	// DispatcherStarted records the start of a dispatcher.
	DispatcherStarted Kind = "up"
	// DispatcherStopped records that a dispatcher was killed or has drained.
	DispatcherStopped Kind = "down"
	// ServerLoad samples the load of a server: Value is its queued prompt tokens, ClientAttempt its requests and
	// Attempt its memory utilization in thousandths.
	ServerLoad Kind = "figures"
)

// Values of Entry.Note. They are part of the file format.
const (
	// NotePrefill and NoteDecode are the phases of an AttemptSent entry.
	NotePrefill = "read"
	NoteDecode  = "write"
	// NoteRefused marks an AttemptEnded entry of an attempt that the server refused before it started.
	NoteRefused = "refused"
	// NotePartitioned and NoteReconnected mark FaultChanged entries of a server that could not be reached for a time.
	NotePartitioned = "cut"
	NoteReconnected = "uncut"
	// NoteFaultBegins and NoteFaultEnds mark FaultChanged entries of a scripted fault; Code is its kind.
	NoteFaultBegins = "begins"
	NoteFaultEnds   = "ends"
)

// Entry is one observed event. Times are Unix nanoseconds of one clock.
type Entry struct {
	At            int64  `json:"at"`
	Kind          Kind   `json:"kind"`
	Request       string `json:"job,omitempty"` // the dispatcher's identifier of the request
	Attempt       int    `json:"shot,omitempty"`
	Server        int    `json:"host,omitempty"`
	RequestLabel  string `json:"label,omitempty"` // the client's identifier of the request
	ClientAttempt int    `json:"try,omitempty"`   // counts the repeats by the client from 0
	Class         string `json:"track,omitempty"`
	Tenant        string `json:"tenant,omitempty"`
	Code          string `json:"code,omitempty"`
	Note          string `json:"note,omitempty"`
	Value         int64  `json:"n,omitempty"`
	Dispatcher    int    `json:"disp,omitempty"` // index of the dispatcher, from 0
	Deadline      int64  `json:"by,omitempty"`   // of the client's attempt
}

// Log collects entries. It is safe for concurrent use, and its zero value is ready.
type Log struct {
	// Clock returns the current time in Unix nanoseconds; nil uses the clock of the machine.
	Clock func() int64

	mu      sync.Mutex
	entries []Entry
}

// Add appends an entry, with the current time if it has none. On a nil Log it does nothing.
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

// Entries returns a copy of all entries so far, sorted by time.
func (l *Log) Entries() []Entry {
	l.mu.Lock()
	entries := slices.Clone(l.entries)
	l.mu.Unlock()
	slices.SortStableFunc(entries, func(a, b Entry) int { return cmp.Compare(a.At, b.At) })
	return entries
}

// Write writes entries as lines of JSON.
func Write(w io.Writer, entries []Entry) error {
	encoder := json.NewEncoder(w)
	for _, e := range entries {
		if err := encoder.Encode(e); err != nil {
			return err
		}
	}
	return nil
}

// Read reads what Write wrote. If the file ends in the middle of an entry, it returns the complete entries before it
// and an error that names the incomplete one.
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
