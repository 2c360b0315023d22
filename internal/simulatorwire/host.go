// Package simulatorwire runs dispatchers on the simulator's wire. It decodes lines of text into events of the policy
// and encodes the policy's decisions as lines. It decides nothing.
package simulatorwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"docksail/internal/platformconfig"
	"docksail/policy"
)

const (
	initialBufferBytes = 1 << 16
	maxLineBytes       = 64 << 20 // batches reach megabytes, a line never comes near this
)

// Serve answers batches of events until the input ends. An error names the line of the input.
func Serve(r io.Reader, w io.Writer) error {
	h := newHost(r, w)
	for {
		more, err := h.serveBatch()
		if err != nil {
			return fmt.Errorf("line %d: %w", h.lineNumber, err)
		}
		if !more {
			return nil
		}
	}
}

// host runs all dispatchers of this process.
type host struct {
	in         *bufio.Scanner
	out        *decisionWriter
	lineNumber int
	now        policy.Nanos // clock of the batch
	instances  map[int64]*instance
	touched    []int64 // instances that had an event in this batch, in order of their first
}

func newHost(r io.Reader, w io.Writer) *host {
	h := &host{in: bufio.NewScanner(r), out: newDecisionWriter(w), instances: make(map[int64]*instance)}
	h.in.Buffer(make([]byte, initialBufferBytes), maxLineBytes)
	return h
}

// instance is one dispatcher. Its configuration has the names on the wire by their IDs.
type instance struct {
	*platformconfig.Config
	touched bool   // is in host.touched
	failure string // of the policy, by a panic; empty = none
}

// call calls the policy unless it has failed. A panic in the call becomes the instance's failure.
func (i *instance) call(f func()) {
	defer func() {
		if r := recover(); r != nil {
			i.failure = fmt.Sprint(r)
		}
	}()
	if i.failure == "" {
		f()
	}
}

// nextMessage reads a line. It returns false at the end of the input and if reading failed, which h.in.Err tells apart.
func (h *host) nextMessage() (message, bool) {
	if !h.in.Scan() {
		return message{}, false
	}
	h.lineNumber++
	return newMessage(h.in.Bytes()), true
}

// serveBatch reads one batch and answers it. It returns false at the end of the input.
func (h *host) serveBatch() (bool, error) {
	start, ok := h.nextMessage()
	if !ok {
		return false, h.in.Err()
	}
	if start.name != messageSync {
		return false, fmt.Errorf("a batch starts with %s, not %q", messageSync, start.name)
	}
	h.now = policy.Nanos(start.integer("clock"))
	if start.err != nil {
		return false, start.err
	}
	if err := h.readEvents(); err != nil {
		return false, err
	}
	for _, id := range h.touched {
		if i := h.instances[id]; i != nil {
			i.touched = false
			h.writeDecisions(id, i)
		}
	}
	h.out.write(messageEndOfReply)
	return true, h.out.Flush()
}

// readEvents reads and handles events to the end of the batch.
func (h *host) readEvents() error {
	h.touched = h.touched[:0]
	for {
		event, ok := h.nextMessage()
		if !ok {
			if err := h.in.Err(); err != nil {
				return err
			}
			return errors.New("the input ends inside a batch, before " + messageEndOfBatch)
		}
		if event.name == messageEndOfBatch {
			return nil
		}
		if err := h.handle(&event); err != nil {
			return err
		}
	}
}

// touch has the decisions of an instance written at the end of the batch.
func (h *host) touch(id int64, i *instance) {
	if !i.touched {
		i.touched = true
		h.touched = append(h.touched, id)
	}
}

// writeDecisions writes all decisions that an instance has now, and its failure if it has failed.
func (h *host) writeDecisions(id int64, i *instance) {
	i.call(func() {
		for {
			decision, ok := i.Policy.NextDecision(h.now)
			if !ok {
				return
			}
			h.out.writeDecision(id, &decision)
		}
	})
	if i.failure != "" {
		h.out.writeFailure(id, i.failure)
	}
}
