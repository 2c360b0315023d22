package simulation

import (
	"google.golang.org/grpc/codes"

	pb "docksail/api/docksail/v1"
	"docksail/internal/eventloop"
	"docksail/internal/lab/engine"
	"docksail/internal/lab/engine/batchmodel"
	"docksail/internal/lab/eventlog"
)

// heldState is the KV state that a model server holds for a request after its prefill.
type heldState struct {
	attempt uint32
	tokens  int
	id      batchmodel.ID
	expiry  eventloop.Timer
}

// holdState holds the state of a prefill until it is fetched, is released or expires, and answers the call.
func (m *modelServer) holdState(c *call, prefillTokens int) {
	req := c.attempt.Request
	if m.states[c.requestID] != nil {
		m.releaseState(c.requestID, "read anew")
	}
	state := &heldState{attempt: c.attempt.Shot, tokens: int(req.PromptTokens), id: c.id}
	request := c.requestID
	m.states[request] = state
	m.sim.Log.Add(eventlog.Entry{
		Kind: eventlog.StateHeld, Server: m.spec.ID, Request: request, Attempt: int(state.attempt),
		Value: int64(state.tokens),
	})
	m.loop.SetTimer(&state.expiry, m.loop.Now()+int64(m.spec.MaxHoldTime), func(eventloop.Nanos) {
		m.releaseState(request, "ran out")
	})
	computed := uint32(prefillTokens)
	c.stream.SendMessage(mustMarshal(&pb.ReadDone{
		ReadTokens: computed, KeptTokens: req.PromptTokens - min(computed, req.PromptTokens),
	}), false)
	m.endCall(c, codes.OK, "")
}

// releaseState frees the memory of the state that the server holds for a request, if any.
func (m *modelServer) releaseState(request, cause string) {
	state := m.states[request]
	if state == nil {
		return
	}
	delete(m.states, request)
	m.loop.CancelTimer(&state.expiry)
	m.model.Remove(state.id)
	m.sim.Log.Add(eventlog.Entry{
		Kind: eventlog.StateReleased, Server: m.spec.ID, Request: request, Attempt: int(state.attempt), Note: cause,
	})
	m.loop.Post(m.beginStep)
}

// stateFetch is the fetch of a held state for a decode call. It fails if one of the two processes ends.
type stateFetch struct {
	call       *call
	target     *modelServer
	targetLoop *eventloop.Loop // of the process that fetches
	source     *modelServer
	sourceLoop *eventloop.Loop // of the process that holds the state
	state      *heldState
}

// fetchState fetches the state for a call from the server that holds it.
func (m *modelServer) fetchState(c *call) {
	f := &stateFetch{call: c, target: m, targetLoop: m.loop, source: m.sim.serversByAddr[c.attempt.StateAddress]}
	if f.source == nil || f.source.loop == nil {
		f.fail("its host is gone")
		return
	}
	f.sourceLoop = f.source.loop
	arrival := m.loop.Now() + m.sim.network.Latency
	m.loop.SetTimer(&eventloop.Timer{}, arrival, func(eventloop.Nanos) { f.startTransfer() })
}

// fail ends the call because the state cannot be fetched.
func (f *stateFetch) fail(reason string) {
	f.targetLoop.Post(func() { f.target.endCall(f.call, codes.FailedPrecondition, "no state: "+reason) })
}

// startTransfer starts the transfer after the fetch has reached the source.
func (f *stateFetch) startTransfer() {
	if f.call.stream == nil {
		return
	}
	f.state = f.source.states[f.call.requestID]
	if f.state == nil || f.source.loop != f.sourceLoop {
		f.fail("nothing is held of this job")
		return
	}
	slowdown := max(f.source.faults.LinkSlowdown, 1)
	f.call.transfer = f.target.sim.transfers.start(f.source, f.target, f.state.tokens, slowdown, func() {
		f.call.transfer = 0
		if f.call.stream != nil {
			f.sourceLoop.Post(f.complete)
		}
	})
}

// complete releases the state at the source, as soon as that is not paused, and continues the call.
func (f *stateFetch) complete() {
	switch {
	case f.call.stream == nil:
	case f.source.loop != f.sourceLoop || f.source.states[f.call.requestID] != f.state:
		f.fail("it was let go meanwhile")
	case f.source.isPaused():
		next := f.source.loop.Now() + int64(engine.PauseCheckInterval)
		f.source.loop.SetTimer(&eventloop.Timer{}, next, func(eventloop.Nanos) { f.complete() })
	default:
		f.source.releaseState(f.call.requestID, "fetched")
		f.targetLoop.Post(func() {
			if f.call.stream != nil && f.target.loop == f.targetLoop {
				f.target.model.StateFetched(f.call.id)
				f.target.beginStep()
			}
		})
	}
}
