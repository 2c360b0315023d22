package policy

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// The scenarios in testdata are played line by line; all times are milliseconds. A line holds one
// or several of these, set apart by semicolons; loop and end stand alone:
//
//	set NAME VALUE                     a setting, before anything else
//	server ID ROLE [zone=Z cell=C health=H sent=T]   the list names a server
//	full                               the servers that follow are all there are
//	restored-failed                    the list could not be had
//	at T                               time goes on; wakes that fall due on the way are delivered
//	request ID [prompt=N shared=N prefix=K session=K timeout=T tenant=N]
//	began ID | ended ID OUTCOME [after=T] [held=T] [over] | left ID
//	                                   held: since then its state counts as held, 0 = it was released
//	expect VERB [ID] [on HOST[|HOST]] [for T] [before T]  the next decision, wakes and log lines left out
//	tally HOST                         attempts on HOST among the decisions now taken are counted
//	between A B                        the count is within these; it starts anew
//	restart                            another dispatcher, with the next number, at the first time
//	nothing                            no decision is left
//	log TEXT                           a log line with TEXT was given
//	loop A B ... end                   the lines between, with $ standing for A to B
//
// A scenario fails if a decision is left at its end.

const ms = Nanos(1e6)

type player struct {
	t        *testing.T
	at       string
	set      map[string]int
	d        *Router
	now      Nanos
	wake     Nanos
	queue    []Decision
	log      []string
	attempts map[int]AttemptNumber
	listing  bool
	count    int
}

func TestScenarios(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txt")
	if len(files) == 0 {
		t.Fatal("no scenarios in testdata")
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, part := range strings.Split(string(text), "\n== ")[1:] {
			name, body, _ := strings.Cut(part, "\n")
			t.Run(strings.TrimSuffix(filepath.Base(file), ".txt")+"/"+name, func(t *testing.T) {
				p := &player{t: t, now: 1000 * ms, wake: Never, attempts: map[int]AttemptNumber{}, set: map[string]int{
					"target": 1000,
					"per1k":  60, "timeout": 5000, "most": 6, "cancel": 1, "slack": 16, "round": 4, "release": 500,
					"from": 30, "warm": 10000, "multiple": 250, "window": 2000, "advice": 1, "maxadvice": 1000, "count": 2,
				}}
				p.play(strings.Split(body, "\n"))
				p.queueEmpty("the end")
			})
		}
	}
}

func (p *player) play(lines []string) {
	for i := 0; i < len(lines); i++ {
		line, _, _ := strings.Cut(lines[i], "#")
		if w := strings.Fields(line); len(w) > 0 && w[0] == "loop" {
			last := i
			for strings.TrimSpace(lines[last]) != "end" {
				last++
			}
			for n := p.whole(w[1]); n <= p.whole(w[2]); n++ {
				p.play(strings.Split(strings.ReplaceAll(strings.Join(lines[i+1:last], "\n"), "$", strconv.Itoa(n)), "\n"))
			}
			i = last
			continue
		}
		for p.at = range strings.SplitSeq(line, ";") {
			if w := strings.Fields(p.at); len(w) > 0 {
				p.do(w)
			}
		}
	}
}

func (p *player) whole(s string) int {
	n, err := strconv.Atoi(s)
	if err != nil {
		p.t.Fatalf("%s: %v", p.at, err)
	}
	return n
}

func (p *player) start() {
	s := func(name string) Nanos { return Nanos(p.set[name]) * ms }
	p.d = newRouter(p.t, Config{
		Seed: 1,
		Self: Identity{Number: int32(p.set["number"]), Count: int32(p.set["count"])},
		Classes: []Class{{
			LatencyTarget: s("target"), LatencyTargetPer1k: s("per1k"),
			Timeout: s("timeout"), Value: 1, InterTokenTarget: 50 * ms, Idempotency: Idempotency(p.set["effect"]), DedupScope: DedupScope(p.set["group"]),
			DedupWindow: s("memory"),
		}},
		Tenants: []Tenant{{RequestsPerSecond: float64(p.set["share"])}},
		Roles:   []Role{Prefill, Decode, Mixed},
		SlowStart: SlowStart{
			InitialCapacity: float64(p.set["from"]) / 100, WarmupTime: s("warm"), OverloadFactor: float64(p.set["multiple"]) / 100,
			OverloadWindow: s("window"),
		},
		Attempts:    AttemptLimits{MaxAttempts: int32(p.set["most"]), CanCancel: p.set["cancel"] == 1, DecodeCanPrefill: p.set["pens"] == 1},
		Responses:   ResponseSettings{DeadlineGrace: s("slack"), RoundInterval: s("round"), SendRetryAfter: p.set["advice"] == 1, MaxRetryAfter: s("maxadvice")},
		Discovery:   Discovery{OnRequest: p.set["asked"] == 1, MaxInterval: 10000 * ms},
		ReleaseTime: s("release"),
	})
}

// settle closes an open list and pulls what was decided.
func (p *player) settle() {
	if p.listing {
		p.listing = false
		p.d.ListUpdateEnded(p.now)
	}
	for what, ok := p.d.NextDecision(p.now); ok; what, ok = p.d.NextDecision(p.now) {
		switch what.Action {
		case SetTimer:
			p.wake = min(p.wake, p.now+what.Duration)
		case LogMessage:
			p.log = append(p.log, what.Text)
		case SendAttempt:
			if _, again := p.attempts[int(what.Request)]; again {
				p.attempts[int(what.Request)]++
			} else {
				p.attempts[int(what.Request)] = 0
			}
			fallthrough
		default:
			p.queue = append(p.queue, what)
		}
	}
}

func (p *player) do(w []string) {
	if p.d == nil && w[0] != "set" {
		p.start()
	}
	opts := map[string]int{
		"zone": 0, "cell": 0, "started": 0, "prompt": 500, "shared": 0, "prefix": 0, "session": 0,
		"timeout": p.set["timeout"], "tenant": -1, "after": 50, "health": 0, "held": -1,
	}
	for _, o := range w {
		if k, v, ok := strings.Cut(o, "="); ok {
			if _, known := opts[k]; !known {
				p.t.Fatalf("%s: unknown option %s", p.at, k)
			}
			opts[k] = p.whole(v)
		}
	}
	id := 0
	if len(w) > 1 && w[0] != "set" && w[0] != "log" && w[0] != "expect" {
		id = p.whole(w[1])
	}
	over := w[len(w)-1] == "over"
	switch w[0] {
	case "set":
		if p.d != nil {
			p.t.Fatalf("%s: settings come first", p.at)
		}
		p.set[w[1]] = p.whole(w[2])
		return
	case "server", "full":
		if !p.listing || w[0] == "full" {
			p.d.ListUpdateStarted(w[0] == "full")
		}
		if p.listing = true; w[0] == "server" {
			role := map[string]KindID{"prefill": 0, "decode": 1, "mixed": 2}[w[2]]
			launched := Nanos(opts["started"]) * ms
			p.d.ServerListed(ServerID(id), ZoneID(opts["zone"]), role, CellID(opts["cell"]), Health(opts["health"]), launched)
		}
		return
	case "restored-failed":
		p.d.ListUpdateFailed(p.now)
	case "at":
		p.settle()
		for to := Nanos(id) * ms; p.wake <= to; {
			p.now, p.wake = max(p.wake, p.now), Never
			p.d.TimerFired(p.now)
			p.settle()
		}
		p.now = Nanos(id) * ms
	case "request":
		p.settle()
		p.d.RequestArrived(p.now, Request{
			ID: RequestID(id), Tenant: TenantID(opts["tenant"]), Session: SessionKey(opts["session"]),
			Prefix: PrefixKey(opts["prefix"]), PromptTokens: int64(opts["prompt"]), PrefixTokens: int64(opts["shared"]), MaxOutputTokens: 200,
			Deadline: p.now + Nanos(opts["timeout"])*ms,
		})
	case "began":
		p.d.StreamStarted(p.now, RequestID(id), p.attempts[id], Nanos(opts["after"])*ms)
	case "ended":
		outcome, ok := map[string]Outcome{
			"served": Served, "read": Prefilled, "rejected": Rejected, "stateless": StateMissing,
			"unreachable": Unreachable, "notsent": NotSent, "failed": Failed, "late": TimedOut, "broken": ConnectionLost,
			"canceled": Canceled, "stale": StaleConnection,
		}[w[2]]
		if !ok {
			p.t.Fatalf("%s: unknown outcome", p.at)
		}
		p.d.AttemptEnded(p.now, RequestID(id), p.attempts[id], outcome, Nanos(opts["after"])*ms, over, NoLoadReport)
		if held := opts["held"]; held == 0 {
			p.d.StateHeldSince(p.now, RequestID(id), Never)
		} else if held > 0 {
			p.d.StateHeldSince(p.now, RequestID(id), Nanos(held)*ms)
		}
	case "left":
		p.d.RequestCanceled(p.now, RequestID(id))
	case "expect":
		p.expect(w[1:])
	case "tally":
		p.settle()
		for _, what := range p.queue {
			if what.Action == SendAttempt && int(what.Server) == id {
				p.count++
			}
		}
		p.queue = p.queue[:0]
	case "between":
		if most := p.whole(w[2]); p.count < id || p.count > most {
			p.t.Fatalf("%s: counted %d", p.at, p.count)
		}
		p.count = 0
	case "restart":
		p.now, p.wake, p.attempts = 1000*ms, Never, map[int]AttemptNumber{}
		p.set["number"]++
		p.start()
	case "nothing":
		p.queueEmpty(p.at)
	case "log":
		p.settle()
		if want := strings.Join(w[1:], " "); !strings.Contains(strings.Join(p.log, "\n"), want) {
			p.t.Fatalf("no log line with %q among %q", want, p.log)
		}
	default:
		p.t.Fatalf("%s: unknown line", p.at)
	}
	p.settle()
}

func (p *player) expect(w []string) {
	p.t.Helper()
	if len(p.queue) == 0 {
		p.t.Fatalf("at %d: %s: nothing was decided", p.now/ms, p.at)
	}
	got := p.queue[0]
	p.queue = p.queue[1:]
	name := map[Action]string{
		SendAttempt: "attempt", CancelAttempt: "cancel", RejectRequest: "reject", FailRequest: "fail", ReleaseState: "release",
		WatchEndpoints: "watch",
	}[got.Action]
	ok := name == w[0] && (len(w) < 2 || fmt.Sprint(got.Request) == w[1])
	if n := len(w) - 2; n > 0 && w[n] == "before" {
		before := "never"
		if got.SendBefore > 0 {
			before = fmt.Sprint(int64(got.SendBefore / ms))
		}
		ok = ok && before == w[n+1]
		w = w[:n]
	}
	if ok && len(w) > 3 && w[2] == "for" {
		ok = fmt.Sprint(int64(got.Duration/ms)) == w[3]
	} else if ok && len(w) > 3 {
		ok = false
		for _, srv := range strings.Split(w[3], "|") {
			ok = ok || fmt.Sprint(got.Server) == srv
		}
	}
	if !ok {
		p.t.Fatalf("at %d: %s: got %s %d on %d", p.now/ms, p.at, name, got.Request, got.Server)
	}
}

func (p *player) queueEmpty(where string) {
	p.t.Helper()
	p.settle()
	if len(p.queue) > 0 {
		p.t.Fatalf("at %d: %s: left over: %+v", p.now/ms, where, p.queue[0])
	}
}

func TestOrdinaryPathAllocatesNothing(t *testing.T) {
	p := &player{t: t, set: map[string]int{"target": 1000, "timeout": 5000, "most": 6, "release": 500, "count": 1}}
	p.start()
	p.d.ListUpdateStarted(true)
	p.d.ServerListed(1, 0, 0, 0, Serving, 0)
	p.d.ServerListed(2, 0, 1, 0, Serving, 0)
	p.d.ListUpdateEnded(0)
	now, id := 1000*ms, RequestID(0)
	pull := func() {
		for _, ok := p.d.NextDecision(now); ok; _, ok = p.d.NextDecision(now) {
		}
	}
	one := func() {
		now, id = now+10*ms, id+1
		p.d.RequestArrived(now, Request{ID: id, Tenant: -1, Session: 5, Prefix: 7, PromptTokens: 500, PrefixTokens: 400, Deadline: now + 5e9})
		pull()
		p.d.AttemptEnded(now, id, 0, Prefilled, 5*ms, false, NoLoadReport)
		pull()
		p.d.StreamStarted(now, id, 1, 5*ms)
		p.d.AttemptEnded(now, id, 1, Served, 5*ms, true, NoLoadReport)
		pull()
	}
	for range 100 {
		one()
	}
	if n := testing.AllocsPerRun(500, one); n > 0 {
		t.Fatalf("%v allocations for a job, want none", n)
	}
}
