package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	pb "docksail/api/docksail/v1"
)

const (
	gatewayCalls   = 400 // of the users behind one gateway, all on its one connection
	gatewayLeavers = 250 // users who leave at one time
	gatewayLeaveAt = 300 * time.Millisecond
)

// playGateway has a gateway send the calls of 400 users on its one connection. While all of them wait for their first
// token, 250 users leave at one time, and the gateway cancels their calls. Each of the other 150 is owed a final answer.
func playGateway(l *lab) (broken bool, err error) {
	var hosts []*pb.Host
	for id, role := range []pb.Role{pb.Role_ROLE_READER, pb.Role_ROLE_READER, pb.Role_ROLE_WRITER, pb.Role_ROLE_WRITER} {
		e, err := l.fleet.start(engineSpec{
			id: uint32(id + 1), role: role, zone: "a", cell: "a1", readTime: 400 * time.Millisecond,
			firstToken: 300 * time.Millisecond, gap: 30 * time.Millisecond, tokens: 20,
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
	d, err := newDispatcher(l.record, l.program, l.folder, settings{
		listen: listen, zone: "a", fleet: fmt.Sprintf(`{"watch": %q, "ask_within": "4s"}`, list.addr),
		classes: `[{"name": "draft", "target": "3s", "target_per_1000_tokens": "40ms", "timeout": "12s", "value": 3,
    "late_value": 0.3, "token_gap": "70ms", "effect": "idempotent"}]`,
	})
	if err == nil {
		err = d.start()
	}
	defer d.kill()
	if err != nil {
		return false, cannotRun(err)
	}
	time.Sleep(time.Second)

	conn, err := dial(listen)
	if err != nil {
		return false, cannotRun(err)
	}
	defer conn.Close()
	warm := call(context.Background(), conn, gatewayRequest(0))
	if warm.ending != served {
		return false, cannotRun(fmt.Errorf("the first call was %s, %s", warm.ending, warm.detail))
	}
	leaving, leave := context.WithCancel(context.Background())
	defer leave()
	var stayers, leavers tally
	var wg sync.WaitGroup
	for i := range gatewayCalls {
		ctx, who, name := context.Background(), &stayers, "user who stays"
		if i%8 < 5 {
			ctx, who, name = leaving, &leavers, "user who leaves"
		}
		wg.Go(func() {
			r := call(ctx, conn, gatewayRequest(i+1))
			who.add(r)
			l.record.addf("call %d of a %s, sent at %s: %s after %d tokens, %s",
				i+1, name, l.record.at(r.sentAt), r.ending, r.tokens, r.detail)
		})
	}
	time.Sleep(gatewayLeaveAt)
	if l.trouble {
		l.record.sayf("%d of %d users leave at one time", gatewayLeavers, gatewayCalls)
		leave()
	}
	wg.Wait()
	stayers.report(l.record, "users who stayed")
	leavers.report(l.record, "users who left")
	if d.hasEnded() {
		return false, cannotRun(fmt.Errorf("docksail serve has ended"))
	}
	return stayers.count(lost) > 0, nil
}

func gatewayRequest(i int) *pb.GenerateRequest {
	return &pb.GenerateRequest{
		Track: "draft", Session: fmt.Sprintf("s%d", i), PromptTokens: 200, MaxTokens: 20, Prompt: []byte("a roster, please"),
		PatienceNs: uint64(12 * time.Second), Client: fmt.Sprintf("user-%d", i),
	}
}
