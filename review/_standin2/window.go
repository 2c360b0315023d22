package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	repeatWindow = 2500 * time.Millisecond // window_ns of the class
	windowSlack  = 50 * time.Millisecond   // "Each time limit is 50 ms longer" on sockets
	hangFor      = 6 * time.Second
	windowCalls  = 24
)

// windowSettings are the settings of a small deployment with one class, whose repeats are known for 2.5 s everywhere.
const windowSettings = `{"family_info":{"release_ns":1000000000,"role_by_kind":["read","write"],
"aim_us_per_1000_prompt_tokens":[40000],"token_aim_ns":[60000000],"ahead":false,"resume":false,"writers_read":false},
"limits":{"cancel":true,"conn_idle_ns":15000000000,"connect_timeout_ns":250000000,"max_attempts":5,
"max_retry_after_ns":1000000000,"retry_after":true,"second_copies":false,"streams_per_conn":1},
"load_info":{"fields":[],"how":"none"},"localities":["a"],"machine_types":["prefill","decode"],"me":0,
"membership_mode":"pushed","request_classes":[{"dedup_scope":"all","effect":"deduplicated","give_up_ns":3500000000,
"late_value":0.1,"name":"reminder","on_time_ns":900000000,"points":1.0,"stream":true,"window_ns":2500000000}],
"round_ns":4000000,"rules":{"answer_slack_ns":16000000,"ask_within_ns":10000000000,"cold_from":0.3,"cold_ns":13000000000,
"fall_multiple":2.5,"fall_ns":2000000000,"stop_sending_within_ns":250000000},"siblings":1,"tenants":[],"zone":"a"}`

// playWindow has one of six model hosts, a decode host, hang for some seconds. Requests of a deduplicated class that it has
// taken are sent to no host again once the window for repeats is over, counted from their send to it.
func playWindow(l *lab) (broken bool, err error) {
	var hosts []*modelHost
	var entries []map[string]any
	for i, role := range []string{"prefill", "prefill", "prefill", "decode", "decode", "decode"} {
		h, err := startModelHost(l.record, fmt.Sprintf("s-%d", i+1), role, "a")
		if err != nil {
			return false, cannotRun(err)
		}
		hosts = append(hosts, h)
		entries = append(entries, h.entry())
	}
	list, err := json.Marshal(map[string]any{"version": 1, "full": true, "servers": entries})
	if err != nil {
		return false, cannotRun(err)
	}
	d, err := startNodeFor(l, list)
	defer d.kill()
	if err != nil {
		return false, cannotRun(err)
	}
	statuses := map[int]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	send := func(i int) {
		wg.Go(func() {
			id := fmt.Sprintf("%016x", 0xabc000+i)
			status, body := platformCall(http.DefaultClient, d.addr, id, "key-"+id, "reminder", 3500*time.Millisecond)
			l.record.addf("call %s answered with %d, %.60q", id, status, body)
			mu.Lock()
			statuses[status]++
			mu.Unlock()
		})
	}
	for i := range 30 { // a quiet beginning
		send(i)
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	hung := hosts[5]
	if l.trouble {
		l.record.sayf("decode host %s hangs for %v", hung.id, hangFor)
		hung.setHanging(true)
		time.AfterFunc(hangFor, func() { hung.setHanging(false) })
	}
	for i := range windowCalls {
		send(100 + i)
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	taken, late := 0, 0
	for i := range windowCalls {
		id := fmt.Sprintf("%016x", 0xabc000+100+i)
		first := hung.arrivals(id)
		if len(first) == 0 || !l.trouble {
			continue
		}
		taken++
		for _, h := range hosts {
			for _, at := range h.arrivals(id) {
				if since := at.Sub(first[0]); since > repeatWindow+windowSlack {
					late++
					l.record.sayf("LATE: %s came to %s host %s %.3f s after it had come to the host that hangs",
						id, h.role, h.id, since.Seconds())
				}
			}
		}
	}
	l.record.sayf("%d requests taken by the host that hangs, %d sends LATER than the window of %v and %v; answers by status: %v",
		taken, late, repeatWindow, windowSlack, statuses)
	if l.trouble && taken == 0 || d.hasEnded() {
		return false, cannotRun(fmt.Errorf("the host that hangs got no request, or the dispatcher has ended"))
	}
	return late > 0, nil
}

// startNode starts `docksail node` and waits until it is ready.
func (d *dispatcher) startNode() error {
	if err := d.startProcess("node"); err != nil {
		return err
	}
	for range 200 {
		if answer, err := http.Get("http://" + d.addr + "/health/ready"); err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("docksail node is not ready")
}
