package main

import (
	"fmt"
	"path/filepath"
	"time"

	pb "docksail/api/docksail/v1"
)

const (
	zoneLines   = 200
	zoneAtReset = 12 // lines that run when the connections are reset
	zoneMostFor = 80 * time.Second
)

// playZoneRepeat has a batch of a deduplicated class run at engines in two zones, which share their record of labels
// within a zone only. While lines run, the connections to the decode engines are reset once; the engines stay up.
func playZoneRepeat(l *lab) (broken bool, err error) {
	// A prefill and a decode engine in each of three cells, of which one is in zone a and two are in zone b.
	var hosts []*pb.Host
	var writers []*engine
	var proxies []*proxy
	for i, cell := range []string{"a1", "b1", "b2", "a1", "b1", "b2"} {
		role := pb.Role_ROLE_READER
		if i >= 3 {
			role = pb.Role_ROLE_WRITER
		}
		e, err := l.fleet.start(engineSpec{
			id: uint32(i + 1), role: role, zone: cell[:1], cell: cell, readTime: 60 * time.Millisecond,
			firstToken: 60 * time.Millisecond, gap: 50 * time.Millisecond, tokens: 30,
		})
		if err != nil {
			return false, cannotRun(err)
		}
		host := e.host(pb.Health_HEALTH_SERVING)
		if role == pb.Role_ROLE_WRITER {
			p, err := startProxy(e.addr)
			if err != nil {
				return false, cannotRun(err)
			}
			host.Address = p.addr()
			writers, proxies = append(writers, e), append(proxies, p)
		}
		hosts = append(hosts, host)
	}
	list, err := startLister(l.record, hosts...)
	if err != nil {
		return false, cannotRun(err)
	}
	listen, err := freeAddr()
	if err != nil {
		return false, cannotRun(err)
	}
	api, err := freeAddr()
	if err != nil {
		return false, cannotRun(err)
	}
	d, err := newDispatcher(l.record, l.program, l.folder, settings{
		listen: listen, zone: "a", fleet: fmt.Sprintf(`{"watch": %q, "ask_within": "4s"}`, list.addr),
		classes: `[{"name": "reminder", "target": "1s", "target_per_1000_tokens": "60ms", "timeout": "5s", "value": 1,
    "late_value": 0.1, "token_gap": "50ms", "effect": "deduplicated", "group": "zone", "window": "60s"}]`,
		batch: fmt.Sprintf(`{"listen": %q, "dir": %q, "lines_out": 16, "keys": [{"sha256": %q, "tenant": ""}]}`,
			api, filepath.Join(l.folder, "batches"), batchKeyHash()),
	})
	if err == nil {
		err = d.start()
	}
	defer func() { d.kill() }()
	if err != nil {
		return false, cannotRun(err)
	}
	client := &batchAPI{url: "http://" + api}
	if err := client.waitUntilUp(); err != nil {
		return false, cannotRun(err)
	}
	id, err := client.submit("reminder", zoneLines, 30, "24h")
	if err != nil {
		return false, cannotRun(err)
	}
	l.record.addf("batch %s taken, %d lines", id, zoneLines)
	open := func() int {
		n := 0
		for _, e := range writers {
			e.mu.Lock()
			for _, a := range e.arrivals {
				if a.open {
					n++
				}
			}
			e.mu.Unlock()
		}
		return n
	}
	deadline := time.Now().Add(55 * time.Second)
	for open() < zoneAtReset {
		if time.Now().After(deadline) {
			return false, cannotRun(fmt.Errorf("no %d lines ran at one time", zoneAtReset))
		}
		time.Sleep(10 * time.Millisecond)
	}
	if l.trouble {
		l.record.sayf("%d lines run; the connections to the decode engines are reset once", open())
		for _, p := range proxies {
			p.reset()
		}
	}
	deadline = l.record.start.Add(zoneMostFor)
	var state batchState
	for time.Now().Before(deadline) {
		if state, err = client.state(id); err == nil && state.hasEnded() {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	twice := 0
	for label, zones := range l.fleet.effects {
		if len(zones) > 1 {
			twice++
			l.record.addf("RAN TWICE: label %s in %d zones, %v", label, len(zones), zones)
		}
	}
	l.record.sayf("batch %s is %s: %d labels ran, %d of them TWICE, in a zone that knew them and in one that did not",
		id, state.Status, len(l.fleet.effects), twice)
	if len(l.fleet.effects) < zoneAtReset {
		return false, cannotRun(fmt.Errorf("too few lines ran"))
	}
	return twice > 0, nil
}
