// Package simulatorwire connects dispatchers to the simulator. It decodes the simulator's lines of text into events
// for the policy and encodes the policy's decisions as lines. It makes no decisions itself.
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
	maxLineBytes       = 64 << 20 // far above the size of whole batches, which reach megabytes
)

// Serve reads batches of events from r and writes the reply to each to w until the input ends. An error names the line
// of the input.
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
	now        policy.Nanos // time of the batch
	instances  map[int64]*instance
	touched    []int64 // IDs of the instances with an event in this batch, in the order of their first events
}

func newAdapter(r io.Reader, w io.Writer) *adapter {
	a := &adapter{in: bufio.NewScanner(r), out: newDecisionWriter(w), instances: make(map[int64]*instance)}
	a.in.Buffer(make([]byte, initialBufferBytes), maxLineBytes)
	return a
}

// instance is one dispatcher. Its configuration maps IDs of the policy to the names on the wire.
type instance struct {
	*platformconfig.Config
	touched bool   // the instance is in adapter.touched
	failure string // value of a panic in the policy; empty = none
}

// call calls f unless the policy has panicked before. A panic in f becomes the instance's failure.
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

// nextMessage reads a line. It returns false at the end of the input or after an error, which a.in.Err returns.
func (a *adapter) nextMessage() (message, bool) {
	if !a.in.Scan() {
		return message{}, false
	}
	a.lineNumber++
	return newMessage(a.in.Bytes()), true
}

// serveBatch reads one batch and writes the reply. It returns false at the end of the input.
func (a *adapter) serveBatch() (bool, error) {
	start, ok := a.nextMessage()
	if !ok {
		return false, a.in.Err()
	}
	if start.name != messageSync {
		return false, fmt.Errorf("a batch must start with %s, not %q", messageSync, start.name)
	}
	a.now = policy.Nanos(start.integer("clock"))
	if start.err != nil {
		return false, start.err
	}
	if err := a.readEvents(); err != nil {
		return false, err
	}
	for _, id := range a.touched {
		if dispatcher := a.instances[id]; dispatcher != nil {
			dispatcher.touched = false
			a.writeDecisions(id, dispatcher)
		}
	}
	a.out.write(messageEndOfReply)
	return true, a.out.Flush()
}

// readEvents reads and handles events up to the end of the batch.
func (a *adapter) readEvents() error {
	a.touched = a.touched[:0]
	for {
		event, ok := a.nextMessage()
		if !ok {
			if err := a.in.Err(); err != nil {
				return err
			}
			return errors.New("the input ended inside a batch, before " + messageEndOfBatch)
		}
		if event.name == messageEndOfBatch {
			return nil
		}
		if err := a.handle(&event); err != nil {
			return err
		}
	}
}

// touch marks an instance, whose decisions are then written at the end of the batch.
func (a *adapter) touch(id int64, dispatcher *instance) {
	if !dispatcher.touched {
		dispatcher.touched = true
		a.touched = append(a.touched, id)
	}
}

// writeDecisions writes all pending decisions of an instance, and its failure if it has one.
func (a *adapter) writeDecisions(id int64, dispatcher *instance) {
	dispatcher.call(func() {
		for {
			decision, ok := dispatcher.Policy.NextDecision(a.now)
			if !ok {
				return
			}
			a.out.writeDecision(id, &decision)
		}
	})
	if dispatcher.failure != "" {
		a.out.writeFailure(id, dispatcher.failure)
	}
}
