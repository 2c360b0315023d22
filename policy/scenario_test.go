package policy

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// The scenarios in testdata are played line by line. All times are milliseconds. A scenario starts with a line of two
// equals signs and its name. A line holds one or several of these commands, separated by semicolons; loop and end stand
// alone:
//
//	set NAME VALUE                        a setting (see defaultSettings), before anything else
//	server ID ROLE [zone=Z cell=C health=H started=T]   the endpoint list names a server
//	full                                  the servers that follow are a full list
//	list-failed                           the endpoint list could not be obtained
//	at T                                  time advances; timers that are due on the way fire
//	request ID [prompt=N shared=N prefix=K session=K timeout=T tenant=N]
//	began ID [after=T]                    the stream of the last attempt begins, T after it was sent
//	ended ID OUTCOME [after=T] [held=T] [answered]      the last attempt ends; held is since when the KV state
//	                                      counts as held, 0 = it was released; answered: finally
//	canceled ID                           the client cancels a request
//	expect ACTION [ID] [on SERVER[|SERVER]] [for T] [before T]   the next decision, timers and ejections left out
//	count SERVER                          takes all decisions now and adds up the attempts at SERVER among them
//	counted A B                           the sum is from A to B; it starts anew
//	next-dispatcher                       another dispatcher, with the next number, at the first time
//	nothing                               no decision is left
//	log TEXT                              an ejection whose description has TEXT was returned
//	loop A B ... end                      the lines between, with $ standing for A to B
//
// A scenario fails if a decision is left at its end. Idempotency, scopes and health are given by number.

const (
	ms            = Nanos(1e6)
	scenarioStart = 1000 * ms
)

// defaultSettings are the settings of a scenario that sets nothing; shares are in percent.
var defaultSettings = map[string]int{
	"target": 1000, "target-per-1k": 60, "timeout": 5000, "max-attempts": 6, "can-cancel": 1, "grace": 16, "round": 4,
	"release": 500, "initial-capacity": 30, "warmup": 10000, "overload-factor": 250, "overload-window": 2000,
	"retry-after": 1, "max-retry-after": 1000, "dispatchers": 2, "number": 0, "on-request": 0, "idempotency": 0,
	"dedup-scope": 0, "dedup-window": 0, "decode-can-prefill": 0, "quota": 0,
}

// actionNames are the actions as expect names them.
var actionNames = map[Action]string{
	SendAttempt: "attempt", CancelAttempt: "cancel", RejectRequest: "reject", FailRequest: "fail",
	ReleaseState: "release", WatchEndpoints: "watch",
}

// outcomeByName returns the outcome that ended names, such as timed-out.
func outcomeByName(name string) (Outcome, bool) {
	for outcome := Served; outcome <= StaleConnection; outcome++ {
		if strings.ReplaceAll(outcome.String(), " ", "-") == name {
			return outcome, true
		}
	}
	return 0, false
}

// player plays one scenario.
type player struct {
	t            *testing.T
	command      string // being played, for messages
	settings     map[string]int
	router       *Router
	now          Nanos
	timer        Nanos
	decisions    []Decision // not expected yet
	log          []string
	lastAttempts map[int]AttemptNumber // by request
	listing      bool                  // a list update is open
	attemptCount int                   // by the command count
}

func newPlayer(t *testing.T) *player {
	t.Helper()
	return &player{
		t: t, now: scenarioStart, timer: Never, lastAttempts: map[int]AttemptNumber{},
		settings: maps.Clone(defaultSettings),
	}
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
				p := newPlayer(t)
				p.play(strings.Split(body, "\n"))
				p.expectNothing("the end")
			})
		}
	}
}

func (p *player) play(lines []string) {
	p.t.Helper()
	for i := 0; i < len(lines); i++ {
		line, _, _ := strings.Cut(lines[i], "#")
		if words := strings.Fields(line); len(words) > 0 && words[0] == "loop" {
			end := i
			for strings.TrimSpace(lines[end]) != "end" {
				end++
			}
			body := strings.Join(lines[i+1:end], "\n")
			for n := p.number(words[1]); n <= p.number(words[2]); n++ {
				p.play(strings.Split(strings.ReplaceAll(body, "$", strconv.Itoa(n)), "\n"))
			}
			i = end
			continue
		}
		for p.command = range strings.SplitSeq(line, ";") {
			if words := strings.Fields(p.command); len(words) > 0 {
				p.do(words)
			}
		}
	}
}

func (p *player) number(s string) int {
	p.t.Helper()
	n, err := strconv.Atoi(s)
	if err != nil {
		p.t.Fatalf("%s: %v", p.command, err)
	}
	return n
}

// start makes the router with the scenario's settings.
func (p *player) start() {
	p.t.Helper()
	set := p.settings
	duration := func(name string) Nanos { return Nanos(set[name]) * ms }
	share := func(name string) float64 { return float64(set[name]) / 100 }
	p.router = newRouter(p.t, Config{
		Seed: 1,
		Self: Identity{Number: int32(set["number"]), Count: int32(set["dispatchers"])},
		Classes: []Class{{
			LatencyTarget: duration("target"), LatencyTargetPer1k: duration("target-per-1k"),
			Timeout: duration("timeout"), Value: 1, InterTokenTarget: 50 * ms,
			Idempotency: Idempotency(set["idempotency"]), DedupScope: DedupScope(set["dedup-scope"]),
			DedupWindow: duration("dedup-window"),
		}},
		Tenants: []Tenant{{RequestsPerSecond: float64(set["quota"])}},
		Roles:   []Role{Prefill, Decode, Mixed},
		SlowStart: SlowStart{
			InitialCapacity: share("initial-capacity"), WarmupTime: duration("warmup"),
			OverloadFactor: share("overload-factor"), OverloadWindow: duration("overload-window"),
		},
		Attempts: AttemptLimits{
			MaxAttempts: int32(set["max-attempts"]), CanCancel: set["can-cancel"] == 1,
			DecodeCanPrefill: set["decode-can-prefill"] == 1,
		},
		Responses: ResponseSettings{
			DeadlineGrace: duration("grace"), RoundInterval: duration("round"),
			SendRetryAfter: set["retry-after"] == 1, MaxRetryAfter: duration("max-retry-after"),
		},
		Discovery:   Discovery{OnRequest: set["on-request"] == 1, MaxInterval: 10000 * ms},
		ReleaseTime: duration("release"),
	})
}

// settle closes an open list update and takes the decisions that are due.
func (p *player) settle() {
	if p.listing {
		p.listing = false
		p.router.ListUpdateEnded(p.now)
	}
	for decision, ok := p.router.NextDecision(p.now); ok; decision, ok = p.router.NextDecision(p.now) {
		switch decision.Action {
		case SetTimer:
			p.timer = min(p.timer, p.now+decision.Duration)
		case LogEjection:
			p.log = append(p.log, decision.Ejection.String())
		case SendAttempt:
			if _, again := p.lastAttempts[int(decision.Request)]; again {
				p.lastAttempts[int(decision.Request)]++
			} else {
				p.lastAttempts[int(decision.Request)] = 0
			}
			p.decisions = append(p.decisions, decision)
		default:
			p.decisions = append(p.decisions, decision)
		}
	}
}

// options returns the options NAME=VALUE of a command, with the defaults of those it leaves out.
func (p *player) options(words []string) map[string]int {
	p.t.Helper()
	options := map[string]int{
		"zone": 0, "cell": 0, "started": 0, "prompt": 500, "shared": 0, "prefix": 0, "session": 0,
		"timeout": p.settings["timeout"], "tenant": -1, "after": 50, "health": 0, "held": -1,
	}
	for _, word := range words {
		if name, value, ok := strings.Cut(word, "="); ok {
			if _, known := options[name]; !known {
				p.t.Fatalf("%s: unknown option %s", p.command, name)
			}
			options[name] = p.number(value)
		}
	}
	return options
}

func (p *player) do(words []string) {
	p.t.Helper()
	if p.router == nil && words[0] != "set" {
		p.start()
	}
	options := p.options(words)
	id := 0
	if len(words) > 1 && words[0] != "set" && words[0] != "log" && words[0] != "expect" {
		id = p.number(words[1])
	}
	switch words[0] {
	case "set":
		p.set(words[1], words[2])
		return
	case "server", "full":
		p.list(words, ServerID(id), options)
		return
	case "list-failed":
		p.router.ListUpdateFailed(p.now)
	case "at":
		p.advance(Nanos(id) * ms)
	case "request":
		p.settle()
		p.router.RequestArrived(p.now, Request{
			ID: RequestID(id), Tenant: TenantID(options["tenant"]), Session: SessionKey(options["session"]),
			Prefix: PrefixKey(options["prefix"]), PromptTokens: int64(options["prompt"]),
			PrefixTokens: int64(options["shared"]), MaxOutputTokens: 200,
			Deadline: p.now + Nanos(options["timeout"])*ms,
		})
	case "began":
		p.router.StreamStarted(p.now, RequestID(id), p.lastAttempts[id], Nanos(options["after"])*ms)
	case "ended":
		p.endAttempt(words, id, options)
	case "canceled":
		p.router.RequestCanceled(p.now, RequestID(id))
	case "expect":
		p.expect(words[1:])
	case "count":
		p.countAttempts(ServerID(id))
	case "counted":
		if most := p.number(words[2]); p.attemptCount < id || p.attemptCount > most {
			p.t.Fatalf("%s: counted %d", p.command, p.attemptCount)
		}
		p.attemptCount = 0
	case "next-dispatcher":
		p.now, p.timer, p.lastAttempts = scenarioStart, Never, map[int]AttemptNumber{}
		p.settings["number"]++
		p.start()
	case "nothing":
		p.expectNothing(p.command)
	case "log":
		p.settle()
		if want := strings.Join(words[1:], " "); !strings.Contains(strings.Join(p.log, "\n"), want) {
			p.t.Fatalf("no log line with %q among %q", want, p.log)
		}
	default:
		p.t.Fatalf("%s: unknown command", p.command)
	}
	p.settle()
}

func (p *player) set(name, value string) {
	p.t.Helper()
	if p.router != nil {
		p.t.Fatalf("%s: settings come first", p.command)
	}
	if _, known := p.settings[name]; !known {
		p.t.Fatalf("%s: unknown setting", p.command)
	}
	p.settings[name] = p.number(value)
}

func (p *player) list(words []string, id ServerID, options map[string]int) {
	full := words[0] == "full"
	if !p.listing || full {
		p.router.ListUpdateStarted(full)
	}
	p.listing = true
	if !full {
		kind := map[string]KindID{"prefill": 0, "decode": 1, "mixed": 2}[words[2]]
		p.router.ServerListed(id, ZoneID(options["zone"]), kind, CellID(options["cell"]), Health(options["health"]),
			Nanos(options["started"])*ms)
	}
}

// advance lets time go on to a time; timers that are due on the way fire.
func (p *player) advance(to Nanos) {
	p.settle()
	for p.timer <= to {
		p.now, p.timer = max(p.timer, p.now), Never
		p.router.TimerFired(p.now)
		p.settle()
	}
	p.now = to
}

func (p *player) endAttempt(words []string, id int, options map[string]int) {
	p.t.Helper()
	outcome, ok := outcomeByName(words[2])
	if !ok {
		p.t.Fatalf("%s: unknown outcome", p.command)
	}
	answered := words[len(words)-1] == "answered"
	p.router.AttemptEnded(p.now, RequestID(id), p.lastAttempts[id], outcome, Nanos(options["after"])*ms, answered,
		NoLoadReport)
	if held := options["held"]; held == 0 {
		p.router.StateHeldSince(p.now, RequestID(id), Never)
	} else if held > 0 {
		p.router.StateHeldSince(p.now, RequestID(id), Nanos(held)*ms)
	}
}

func (p *player) countAttempts(server ServerID) {
	p.settle()
	for _, decision := range p.decisions {
		if decision.Action == SendAttempt && decision.Server == server {
			p.attemptCount++
		}
	}
	p.decisions = p.decisions[:0]
}

func (p *player) expect(words []string) {
	p.t.Helper()
	if len(p.decisions) == 0 {
		p.t.Fatalf("at %d: %s: nothing was decided", p.now/ms, p.command)
	}
	got := p.decisions[0]
	p.decisions = p.decisions[1:]
	name := actionNames[got.Action]
	ok := name == words[0] && (len(words) < 2 || fmt.Sprint(got.Request) == words[1])
	if n := len(words) - 2; n > 0 && words[n] == "before" {
		before := "never"
		if got.SendBefore > 0 {
			before = fmt.Sprint(int64(got.SendBefore / ms))
		}
		ok = ok && before == words[n+1]
		words = words[:n]
	}
	if ok && len(words) > 3 && words[2] == "for" {
		ok = fmt.Sprint(int64(got.Duration/ms)) == words[3]
	} else if ok && len(words) > 3 {
		ok = false
		for server := range strings.SplitSeq(words[3], "|") {
			ok = ok || fmt.Sprint(got.Server) == server
		}
	}
	if !ok {
		p.t.Fatalf("at %d: %s: got %s %d on %d", p.now/ms, p.command, name, got.Request, got.Server)
	}
}

func (p *player) expectNothing(where string) {
	p.t.Helper()
	p.settle()
	if len(p.decisions) > 0 {
		p.t.Fatalf("at %d: %s: left over: %+v", p.now/ms, where, p.decisions[0])
	}
}
