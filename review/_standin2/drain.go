package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	pb "docksail/api/docksail/v1"
)

const (
	drainGrace   = 500 * time.Millisecond // rules.drain_grace of the settings
	drainSlack   = 50 * time.Millisecond  // each time limit is 50 ms longer on sockets
	toldWithin   = 6 * time.Second        // a change counts as told after so long at the latest
	callInterval = 100 * time.Millisecond
	watchedFor   = 16 * time.Second // after the drain began
	classes      = `[{"name": "question", "target": "1s", "target_per_1000_tokens": "60ms", "timeout": "5s", "value": 1,
    "late_value": 0.1, "token_gap": "50ms", "effect": "idempotent"}]`
)

// drainCase is a dispatcher with two prefill and two decode engines under light traffic, of which decode engine 4 begins
// to drain.
type drainCase struct {
	*lab
	engines []*engine
	list    *lister
	watch   *proxy // between the dispatcher and discovery
	d       *dispatcher
	results tally
}

func startDrainCase(l *lab) (*drainCase, error) {
	c := &drainCase{lab: l}
	var hosts []*pb.Host
	for id, role := range []pb.Role{pb.Role_ROLE_READER, pb.Role_ROLE_READER, pb.Role_ROLE_WRITER, pb.Role_ROLE_WRITER} {
		e, err := l.fleet.start(engineSpec{
			id: uint32(id + 1), role: role, zone: "a", cell: "a1", readTime: 50 * time.Millisecond,
			firstToken: 30 * time.Millisecond, gap: 50 * time.Millisecond, tokens: 50,
		})
		if err != nil {
			return nil, err
		}
		c.engines = append(c.engines, e)
		hosts = append(hosts, e.host(pb.Health_HEALTH_SERVING))
	}
	var err error
	if c.list, err = startLister(l.record, hosts...); err != nil {
		return nil, err
	}
	if c.watch, err = startProxy(c.list.addr); err != nil {
		return nil, err
	}
	listen, err := freeAddr()
	if err != nil {
		return nil, err
	}
	c.d, err = newDispatcher(l.record, l.program, l.folder, settings{
		listen: listen, zone: "a", fleet: fmt.Sprintf(`{"watch": %q, "ask_within": "4s"}`, c.watch.addr()), classes: classes,
	})
	if err != nil {
		return nil, err
	}
	return c, c.d.start()
}

// traffic sends a call each callInterval until ctx ends, and waits for their ends.
func (c *drainCase) traffic(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	conn, err := dial(c.d.addr)
	if err != nil {
		return
	}
	defer conn.Close()
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		wg.Go(func() {
			r := call(context.Background(), conn, &pb.GenerateRequest{
				Track: "question", Session: fmt.Sprintf("s%d", i), PromptTokens: 100, MaxTokens: 50,
				Prompt: []byte("is the swap confirmed?"), PatienceNs: uint64(5 * time.Second),
			})
			c.results.add(r)
			c.record.addf("call %d, sent at %s: %s after %d tokens, %s", i, c.record.at(r.sentAt), r.ending, r.tokens, r.detail)
		})
		time.Sleep(callInterval)
	}
}

// judge waits and judges: nothing may reach the draining engine later than the grace after the drain counts as told.
// The engine finishes all that it got until then, and its process ends with that.
func (c *drainCase) judge(began, told time.Time) (broken bool) {
	drained := c.engines[3]
	last := told.Add(drainGrace + drainSlack)
	time.Sleep(time.Until(last))
	for drained.hasOpen(last) {
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	c.record.addf("%s has finished all that it got in time, and ends", drained.name())
	drained.stop()
	time.Sleep(time.Until(began.Add(watchedFor)))

	drained.mu.Lock()
	defer drained.mu.Unlock()
	inTime, late, cut := 0, 0, 0
	for _, a := range drained.arrivals {
		switch {
		case a.at.Before(began):
		case a.at.Before(last):
			inTime++
		default:
			late++
			if a.cut {
				cut++
			}
			c.record.addf("LATE: %s got %s at %s, %.3f s after the drain counts as told",
				drained.name(), a.method, c.record.at(a.at), a.at.Sub(told).Seconds())
		}
	}
	c.record.sayf("%s, draining since %s, told at %s at the latest: %d attempts until the end of the grace, %d LATER, "+
		"of which %d were cut off when it ended", drained.name(), c.record.at(began), c.record.at(told), inTime, late, cut)
	return late > 0
}

// hasOpen reports whether a call that arrived before a time is still open.
func (e *engine) hasOpen(before time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.arrivals {
		if a.open && a.at.Before(before) {
			return true
		}
	}
	return false
}

// play runs traffic while trouble plays, which returns when the drain began and when it counts as told.
func (c *drainCase) play(trouble func() (began, told time.Time)) (broken bool, err error) {
	defer c.d.kill()
	time.Sleep(time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go c.traffic(ctx, done)
	began, told := trouble()
	broken = c.judge(began, told)
	cancel()
	<-done
	c.results.report(c.record, "calls")
	if c.d.hasEnded() || c.results.count(served) < 50 {
		return false, cannotRun(fmt.Errorf("docksail serve has ended or served too little"))
	}
	return broken, nil
}

// playSilentWatch has the open watch fall silent, without an error, after some quiet seconds; a new one would work. Half
// a second later an engine begins to drain.
func playSilentWatch(l *lab) (broken bool, err error) {
	c, err := startDrainCase(l)
	if err != nil {
		return false, cannotRun(err)
	}
	return c.play(func() (began, told time.Time) {
		time.Sleep(5 * time.Second)
		if l.trouble {
			l.record.sayf("%d open watch falls silent; new ones work", c.watch.silence())
		}
		time.Sleep(500 * time.Millisecond)
		began = time.Now()
		c.list.change(c.engines[3].host(pb.Health_HEALTH_DRAINING))
		return began, began.Add(toldWithin)
	})
}
