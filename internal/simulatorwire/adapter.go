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
	a := newAdapter(r, w)
	for {
		more, err := a.serveBatch()
		if err != nil {
			return fmt.Errorf("line %d: %w", a.lineNumber, err)
		}
		if !more {
			return nil
		}
	}
}

// adapter runs all dispatchers of this process.
type adapter struct {
	in         *bufio.Scanner
	out        *decisionWriter
	lineNumber int
	now        policy.Nanos // clock of the batch
	instances  map[int64]*instance
	touched    []int64 // instances that had an event in this batch, in order of their first
}

func newAdapter(r io.Reader, w io.Writer) *adapter {
	a := &adapter{in: bufio.NewScanner(r), out: newDecisionWriter(w), instances: make(map[int64]*instance)}
	a.in.Buffer(make([]byte, initialBufferBytes), maxLineBytes)
	return a
}

// instance is one dispatcher. Its configuration has the names on the wire by their IDs.
type instance struct {
	*platformconfig.Config
	touched bool   // is in adapter.touched
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

// nextMessage reads a line. It returns false at the end of the input and if reading failed, which a.in.Err tells apart.
func (a *adapter) nextMessage() (message, bool) {
	if !a.in.Scan() {
		return message{}, false
	}
	a.lineNumber++
	return newMessage(a.in.Bytes()), true
}

// serveBatch reads one batch and answers it. It returns false at the end of the input.
func (a *adapter) serveBatch() (bool, error) {
	start, ok := a.nextMessage()
	if !ok {
		return false, a.in.Err()
	}
	if start.name != messageSync {
		return false, fmt.Errorf("a batch starts with %s, not %q", messageSync, start.name)
	}
	a.now = policy.Nanos(start.integer("clock"))
	if start.err != nil {
		return false, start.err
	}
	if err := a.readEvents(); err != nil {
		return false, err
	}
	for _, id := range a.touched {
		if i := a.instances[id]; i != nil {
			i.touched = false
			a.writeDecisions(id, i)
		}
	}
	a.out.write(messageEndOfReply)
	return true, a.out.Flush()
}

// readEvents reads and handles events to the end of the batch.
func (a *adapter) readEvents() error {
	a.touched = a.touched[:0]
	for {
		event, ok := a.nextMessage()
		if !ok {
			if err := a.in.Err(); err != nil {
				return err
			}
			return errors.New("the input ends inside a batch, before " + messageEndOfBatch)
		}
		if event.name == messageEndOfBatch {
			return nil
		}
		if err := a.handle(&event); err != nil {
			return err
		}
	}
}

// touch has the decisions of an instance written at the end of the batch.
func (a *adapter) touch(id int64, i *instance) {
	if !i.touched {
		i.touched = true
		a.touched = append(a.touched, id)
	}
}

// writeDecisions writes all decisions that an instance has now, and its failure if it has failed.
func (a *adapter) writeDecisions(id int64, i *instance) {
	i.call(func() {
		for {
			decision, ok := i.Policy.NextDecision(a.now)
			if !ok {
				return
			}
			a.out.writeDecision(id, &decision)
		}
	})
	if i.failure != "" {
		a.out.writeFailure(id, i.failure)
	}
}
