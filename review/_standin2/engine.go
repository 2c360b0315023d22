package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "docksail/api/docksail/v1"
)

// fleet is all engines of a case and what they share.
type fleet struct {
	record *record
	mu     sync.Mutex
	byAddr map[string]*engine
	// effects has the engines at which each label took effect, by label and zone: the engines of a zone share their
	// record of labels, so that a repeat in the same zone is known and not run again.
	effects map[string]map[string]string
}

func newFleet(r *record) *fleet {
	return &fleet{record: r, byAddr: map[string]*engine{}, effects: map[string]map[string]string{}}
}

// engineSpec describes an engine.
type engineSpec struct {
	id         uint32
	role       pb.Role
	zone, cell string
	readTime   time.Duration // of a prompt
	firstToken time.Duration // from the fetch of the state to the first token
	gap        time.Duration // between tokens
	tokens     int           // of an answer
}

// arrival is one call of Write or Read that has reached an engine.
type arrival struct {
	at     time.Time
	method string
	open   bool
	cut    bool // the engine ended while the call was open
}

// engine is a stand-in for an engine that behaves soundly: it reads, holds, lets go, fetches and streams as the service
// docksail.v1.Engine says, and finishes what it has when it drains.
type engine struct {
	pb.UnimplementedEngineServer
	engineSpec
	fleet  *fleet
	addr   string
	server *grpc.Server
	ended  context.Context
	end    context.CancelFunc

	mu       sync.Mutex
	states   map[string]bool
	arrivals []*arrival
}

// start starts an engine on a free port.
func (f *fleet) start(spec engineSpec) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{engineSpec: spec, fleet: f, addr: listener.Addr().String(), states: map[string]bool{}}
	e.ended, e.end = context.WithCancel(context.Background())
	e.server = grpc.NewServer(grpc.MaxConcurrentStreams(10000))
	pb.RegisterEngineServer(e.server, e)
	f.mu.Lock()
	f.byAddr[e.addr] = e
	f.mu.Unlock()
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

// stop ends the engine's process: its connections end with it.
func (e *engine) stop() {
	e.mu.Lock()
	for _, a := range e.arrivals {
		a.cut = a.open
	}
	e.mu.Unlock()
	e.end()
	e.server.Stop()
}

func (e *engine) name() string { return fmt.Sprintf("%s-%d", e.role, e.id) }

// host returns the engine's entry in the list.
func (e *engine) host(health pb.Health) *pb.Host {
	return &pb.Host{Id: e.id, Address: e.addr, Role: e.role, Zone: e.zone, Cell: e.cell, Health: health}
}

func stateName(dispatcher, job uint64) string { return fmt.Sprintf("%x.%x", dispatcher, job) }

func (e *engine) arrived(method string, l *pb.Launch) *arrival {
	a := &arrival{at: time.Now(), method: method, open: true}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, a)
	e.mu.Unlock()
	e.fleet.record.addf("%s got %s of %s attempt %d", e.name(), method, stateName(l.Dispatcher, l.Job), l.Shot)
	return a
}

func (e *engine) left(a *arrival) {
	e.mu.Lock()
	a.open = false
	e.mu.Unlock()
}

// pause waits. It returns an error if the caller has gone or the engine has ended.
func (e *engine) pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-e.ended.Done():
		return errors.New("the engine has ended")
	}
}

// Read implements pb.EngineServer.
func (e *engine) Read(ctx context.Context, l *pb.Launch) (*pb.ReadDone, error) {
	a := e.arrived("Read", l)
	defer e.left(a)
	if err := e.pause(ctx, e.readTime); err != nil {
		return nil, err
	}
	e.mu.Lock()
	e.states[stateName(l.Dispatcher, l.Job)] = true
	e.mu.Unlock()
	return &pb.ReadDone{ReadTokens: l.GetRequest().GetPromptTokens()}, nil
}

// Release implements pb.EngineServer.
func (e *engine) Release(_ context.Context, r *pb.ReleaseRequest) (*pb.ReleaseDone, error) {
	e.mu.Lock()
	delete(e.states, stateName(r.Dispatcher, r.Job))
	e.mu.Unlock()
	return &pb.ReleaseDone{}, nil
}

// fetch takes the state of a request from an engine. It reports whether there was one.
func (f *fleet) fetch(addr, name string) bool {
	f.mu.Lock()
	holder := f.byAddr[addr]
	f.mu.Unlock()
	if holder == nil {
		return false
	}
	holder.mu.Lock()
	defer holder.mu.Unlock()
	held := holder.states[name]
	delete(holder.states, name)
	return held
}

// takeEffect records that a label runs at an engine. It reports whether the engines of the zone knew it already.
func (f *fleet) takeEffect(e *engine, label string) (known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	zones := f.effects[label]
	if zones == nil {
		zones = map[string]string{}
		f.effects[label] = zones
	}
	if _, known = zones[e.zone]; !known {
		zones[e.zone] = e.name()
	}
	return known
}

// Write implements pb.EngineServer.
func (e *engine) Write(l *pb.Launch, stream grpc.ServerStreamingServer[pb.Tokens]) error {
	a := e.arrived("Write", l)
	defer e.left(a)
	if !e.fleet.fetch(l.StateAddress, stateName(l.Dispatcher, l.Job)) {
		return status.Error(codes.FailedPrecondition, "no state")
	}
	if label := l.GetRequest().GetLabel(); label != "" {
		known := e.fleet.takeEffect(e, label)
		e.fleet.record.addf("%s in zone %s: label %s, known there before: %v", e.name(), e.zone, label, known)
	}
	if err := e.pause(stream.Context(), e.firstToken); err != nil {
		return err
	}
	for i := range e.tokens {
		if i > 0 {
			if err := e.pause(stream.Context(), e.gap); err != nil {
				return err
			}
		}
		if err := stream.Send(&pb.Tokens{Position: uint32(i), Tokens: []uint32{uint32(i)}, Text: []byte("t ")}); err != nil {
			return err
		}
	}
	return nil
}
