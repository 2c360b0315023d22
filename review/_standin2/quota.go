package main

import (
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	pb "docksail/api/docksail/v1"
)

const (
	quotaLines  = 120
	quotaBytes  = 40 << 10         // of which the input takes less than half, and the results need more than is left
	quotaWindow = 30 * time.Second // the completion window
	quotaGrace  = 15 * time.Second // beyond it, for the files of results
)

// playQuota has a tenant run a batch of which the input fits its quota and the results do not. Every line runs and has
// its result stored; the batch has to end within its window, one way or another.
func playQuota(l *lab) (broken bool, err error) {
	var hosts []*pb.Host
	for i, role := range []pb.Role{pb.Role_ROLE_READER, pb.Role_ROLE_WRITER} {
		e, err := l.fleet.start(engineSpec{
			id: uint32(i + 1), role: role, zone: "a", cell: "a1", readTime: 5 * time.Millisecond,
			firstToken: 5 * time.Millisecond, gap: 5 * time.Millisecond, tokens: 20,
		})
		if err != nil {
			return false, cannotRun(err)
		}
		hosts = append(hosts, e.host(pb.Health_HEALTH_SERVING))
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
	quota := 0 // no bound
	if l.trouble {
		quota = quotaBytes
	}
	d, err := newDispatcher(l.record, l.program, l.folder, settings{
		listen: listen, zone: "a", fleet: fmt.Sprintf(`{"watch": %q, "ask_within": "4s"}`, list.addr), classes: classes,
		batch: fmt.Sprintf(`{"listen": %q, "dir": %q, "quota_bytes": %d, "lines_out": 8, "keys": [{"sha256": %q, "tenant": ""}]}`,
			api, filepath.Join(l.folder, "batches"), quota, batchKeyHash()),
	})
	if err == nil {
		err = d.start()
	}
	defer d.kill()
	if err != nil {
		return false, cannotRun(err)
	}
	client := &batchAPI{url: "http://" + api}
	if err := client.waitUntilUp(); err != nil {
		return false, cannotRun(err)
	}
	id, err := client.submit("question", quotaLines, 20, quotaWindow.String())
	if err != nil {
		return false, cannotRun(err)
	}
	taken := time.Now()
	l.record.sayf("batch %s taken, %d lines, window %v, quota %d bytes", id, quotaLines, quotaWindow, quota)
	var state batchState
	deleted := false
	for time.Since(taken) < quotaWindow+quotaGrace {
		next, err := client.state(id)
		if err == nil && next != state {
			state = next
			l.record.addf("batch %s: %+v", id, state)
		}
		if state.hasEnded() {
			break
		}
		if !deleted && state.Status == "finalizing" && time.Since(taken) > quotaWindow/2 {
			var answer struct{ Deleted bool }
			err := client.call(http.MethodDelete, "/v1/files/"+client.inputID, "", nil, &answer)
			deleted = true
			l.record.sayf("the tenant deletes its input file, its only other file: deleted is %v, %v", answer.Deleted, err)
			var cancelled batchState
			err = client.call(http.MethodPost, "/v1/batches/"+id+"/cancel", "", nil, &cancelled)
			l.record.sayf("the tenant cancels the batch: %q, %v", cancelled.Status, err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	l.record.sayf("batch %s is %s %.0f s after it was taken; %d of %d lines completed, %d failed; output file %q",
		id, state.Status, time.Since(taken).Seconds(), state.Counts.Completed, state.Counts.Total, state.Counts.Failed,
		state.OutputFileID)
	if state.Counts.Completed == 0 || d.hasEnded() {
		return false, cannotRun(fmt.Errorf("no line was served"))
	}
	return !state.hasEnded(), nil
}
