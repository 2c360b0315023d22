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

// The scenarios in testdata run line by line. All times are milliseconds. A scenario starts with a line of two equals
// signs and its name. A line has one or more of these commands, separated by semicolons; loop and end have lines of
// their own:
//
//	set NAME VALUE                        changes a setting (see defaultSettings); only at the start of a scenario
//	server ID ROLE [zone=Z cell=C health=H started=T]   the endpoint list has a server
//	full                                  starts a full list, which has the servers that follow
//	list-failed                           the endpoint list could not be obtained
//	at T                                  advances the time and fires the timers that are due
//	request ID [prompt=N shared=N prefix=K session=K timeout=T tenant=N]   a request arrives
//	began ID [after=T]                    the stream of the last attempt begins, T after it was sent
//	ended ID OUTCOME [after=T] [held=T] [answered]      the last attempt ends; held: the time since which
//	                                      the KV state is held, 0 = released; answered: the request has its final answer
//	canceled ID                           the client cancels a request
//	expect ACTION [ID] [on SERVER[|SERVER]] [for T] [before T]   checks the next decision, without timers and ejections
//	count SERVER                          takes all decisions and counts the attempts at SERVER among them
//	counted A B                           checks that the count is from A to B, and resets it
//	next-dispatcher                       starts another dispatcher, with the next number, at the start time
//	nothing                               checks that no decision is left
//	log TEXT                              checks that an ejection with TEXT in its description was returned
//	loop A B ... end                      repeats the lines between, with $ replaced by A to B
//
// A scenario fails if a decision is left at its end. Idempotency, scopes and health are given by number.

const (
	ms            = Nanos(1e6)
	scenarioStart = 1000 * ms
)

// defaultSettings are the settings of a scenario without set commands. Shares are in percent.
var defaultSettings = map[string]int{
	"target": 1000, "target-per-1k": 60, "timeout": 5000, "max-attempts": 6, "can-cancel": 1, "grace": 16, "round": 4,
	"release": 500, "initial-capacity": 30, "warmup": 10000, "overload-factor": 250, "overload-window": 2000,
	"retry-after": 1, "max-retry-after": 1000, "dispatchers": 2, "number": 0, "on-request": 0, "idempotency": 0,
	"dedup-scope": 0, "dedup-window": 0, "decode-can-prefill": 0, "quota": 0,
}

// actionNames are the names of the actions in the command expect.
var actionNames = map[Action]string{
	SendAttempt: "attempt", CancelAttempt: "cancel", RejectRequest: "reject", FailRequest: "fail",
	ReleaseState: "release", WatchEndpoints: "watch",
}

// outcomeByName returns the outcome with a name in the command ended, such as timed-out.
func outcomeByName(name string) (Outcome, bool) {
	for outcome := Served; outcome <= StaleConnection; outcome++ {
		if strings.ReplaceAll(outcome.String(), " ", "-") == name {
			return outcome, true
		}
	}
	return 0, false
}

// scenarioRunner runs one scenario.
type scenarioRunner struct {
	t            *testing.T
	command      string // current command, for messages
	settings     map[string]int
	router       *Router
	now          Nanos
	timer        Nanos
	decisions    []Decision            // taken from the router and not checked yet
	log          []string              // descriptions of the ejections
	lastAttempts map[int]AttemptNumber // by request ID
	listing      bool                  // a list update is open
	attemptCount int                   // result of the command count
}

func newScenarioRunner(t *testing.T) *scenarioRunner {
	t.Helper()
	return &scenarioRunner{
		t: t, now: scenarioStart, timer: Never, lastAttempts: map[int]AttemptNumber{},
		settings: maps.Clone(defaultSettings),
	}
}

// TestScenarios runs all scenarios in testdata.
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
				r := newScenarioRunner(t)
				r.runLines(strings.Split(body, "\n"))
				r.expectNothing("the end")
			})
		}
	}
}

// runLines runs the commands of some lines.
func (r *scenarioRunner) runLines(lines []string) {
	r.t.Helper()
	for i := 0; i < len(lines); i++ {
		line, _, _ := strings.Cut(lines[i], "#")
		if words := strings.Fields(line); len(words) > 0 && words[0] == "loop" {
			end := i
			for strings.TrimSpace(lines[end]) != "end" {
				end++
			}
			body := strings.Join(lines[i+1:end], "\n")
			for n := r.parseNumber(words[1]); n <= r.parseNumber(words[2]); n++ {
				r.runLines(strings.Split(strings.ReplaceAll(body, "$", strconv.Itoa(n)), "\n"))
			}
			i = end
			continue
		}
		for r.command = range strings.SplitSeq(line, ";") {
			if words := strings.Fields(r.command); len(words) > 0 {
				r.runCommand(words)
			}
		}
	}
}

func (r *scenarioRunner) parseNumber(s string) int {
	r.t.Helper()
	n, err := strconv.Atoi(s)
	if err != nil {
		r.t.Fatalf("%s: %v", r.command, err)
	}
	return n
}

// start creates the router with the settings of the scenario.
func (r *scenarioRunner) start() {
	r.t.Helper()
	settings := r.settings
	duration := func(name string) Nanos { return Nanos(settings[name]) * ms }
	share := func(name string) float64 { return float64(settings[name]) / 100 }
	r.router = newRouter(r.t, Config{
		Seed: 1,
		Self: Identity{Index: int32(settings["number"]), Count: int32(settings["dispatchers"])},
		Classes: []Class{{
			LatencyTarget: duration("target"), LatencyTargetPer1k: duration("target-per-1k"),
			Timeout: duration("timeout"), Value: 1, InterTokenTarget: 50 * ms,
			Idempotency: Idempotency(settings["idempotency"]), DedupScope: DedupScope(settings["dedup-scope"]),
			DedupWindow: duration("dedup-window"),
		}},
		Tenants: []Tenant{{RequestsPerSecond: float64(settings["quota"])}},
		Roles:   []Role{Prefill, Decode, Mixed},
		SlowStart: SlowStart{
			InitialCapacity: share("initial-capacity"), WarmupTime: duration("warmup"),
			OverloadFactor: share("overload-factor"), OverloadWindow: duration("overload-window"),
		},
		Attempts: AttemptLimits{
			MaxAttempts: int32(settings["max-attempts"]), CanCancel: settings["can-cancel"] == 1,
			DecodeCanPrefill: settings["decode-can-prefill"] == 1,
		},
		Responses: ResponseSettings{
			DeadlineGrace: duration("grace"), RoundInterval: duration("round"),
			SendRetryAfter: settings["retry-after"] == 1, MaxRetryAfter: duration("max-retry-after"),
		},
		Discovery:   Discovery{OnRequest: settings["on-request"] == 1, MaxInterval: 10000 * ms},
		ReleaseTime: duration("release"),
	})
}

// takeDecisions ends an open list update and takes the decisions that are due.
func (r *scenarioRunner) takeDecisions() {
	if r.listing {
		r.listing = false
		r.router.ListUpdateEnded(r.now)
	}
	for decision, ok := r.router.NextDecision(r.now); ok; decision, ok = r.router.NextDecision(r.now) {
		switch decision.Action {
		case SetTimer:
			r.timer = min(r.timer, r.now+decision.Duration)
		case LogEjection:
			r.log = append(r.log, decision.Ejection.String())
		case SendAttempt:
			if _, isRetry := r.lastAttempts[int(decision.Request)]; isRetry {
				r.lastAttempts[int(decision.Request)]++
			} else {
				r.lastAttempts[int(decision.Request)] = 0
			}
			r.decisions = append(r.decisions, decision)
		default:
			r.decisions = append(r.decisions, decision)
		}
	}
}

// options returns the options NAME=VALUE of a command, with default values for those that it does not have.
func (r *scenarioRunner) options(words []string) map[string]int {
	r.t.Helper()
	options := map[string]int{
		"zone": 0, "cell": 0, "started": 0, "prompt": 500, "shared": 0, "prefix": 0, "session": 0,
		"timeout": r.settings["timeout"], "tenant": -1, "after": 50, "health": 0, "held": -1,
	}
	for _, word := range words {
		if name, value, ok := strings.Cut(word, "="); ok {
			if _, known := options[name]; !known {
				r.t.Fatalf("%s: unknown option %s", r.command, name)
			}
			options[name] = r.parseNumber(value)
		}
	}
	return options
}

// runCommand runs one command, which is split into words.
func (r *scenarioRunner) runCommand(words []string) {
	r.t.Helper()
	if r.router == nil && words[0] != "set" {
		r.start()
	}
	options := r.options(words)
	id := 0
	if len(words) > 1 && words[0] != "set" && words[0] != "log" && words[0] != "expect" {
		id = r.parseNumber(words[1])
	}
	switch words[0] {
	case "set":
		r.set(words[1], words[2])
		return
	case "server", "full":
		r.list(words, ServerID(id), options)
		return
	case "list-failed":
		r.router.ListUpdateFailed(r.now)
	case "at":
		r.advance(Nanos(id) * ms)
	case "request":
		r.takeDecisions()
		r.router.RequestArrived(r.now, Request{
			ID: RequestID(id), Tenant: TenantID(options["tenant"]), Session: SessionKey(options["session"]),
			Prefix: PrefixKey(options["prefix"]), PromptTokens: int64(options["prompt"]),
			PrefixTokens: int64(options["shared"]), MaxOutputTokens: 200,
			Deadline: r.now + Nanos(options["timeout"])*ms,
		})
	case "began":
		r.router.StreamStarted(r.now, RequestID(id), r.lastAttempts[id], Nanos(options["after"])*ms)
	case "ended":
		r.endAttempt(words, id, options)
	case "canceled":
		r.router.RequestCanceled(r.now, RequestID(id))
	case "expect":
		r.expect(words[1:])
	case "count":
		r.countAttempts(ServerID(id))
	case "counted":
		if most := r.parseNumber(words[2]); r.attemptCount < id || r.attemptCount > most {
			r.t.Fatalf("%s: got a count of %d", r.command, r.attemptCount)
		}
		r.attemptCount = 0
	case "next-dispatcher":
		r.now, r.timer, r.lastAttempts = scenarioStart, Never, map[int]AttemptNumber{}
		r.settings["number"]++
		r.start()
	case "nothing":
		r.expectNothing(r.command)
	case "log":
		r.takeDecisions()
		if want := strings.Join(words[1:], " "); !strings.Contains(strings.Join(r.log, "\n"), want) {
			r.t.Fatalf("want an ejection with %q, got %q", want, r.log)
		}
	default:
		r.t.Fatalf("%s: unknown command", r.command)
	}
	r.takeDecisions()
}

func (r *scenarioRunner) set(name, value string) {
	r.t.Helper()
	if r.router != nil {
		r.t.Fatalf("%s: set command after the start of the scenario", r.command)
	}
	if _, known := r.settings[name]; !known {
		r.t.Fatalf("%s: unknown setting", r.command)
	}
	r.settings[name] = r.parseNumber(value)
}

func (r *scenarioRunner) list(words []string, id ServerID, options map[string]int) {
	full := words[0] == "full"
	if !r.listing || full {
		r.router.ListUpdateStarted(full)
	}
	r.listing = true
	if !full {
		kind := map[string]KindID{"prefill": 0, "decode": 1, "mixed": 2}[words[2]]
		r.router.ServerListed(id, ZoneID(options["zone"]), kind, CellID(options["cell"]), Health(options["health"]),
			Nanos(options["started"])*ms)
	}
}

// advance advances the time and fires the timers that are due.
func (r *scenarioRunner) advance(to Nanos) {
	r.takeDecisions()
	for r.timer <= to {
		r.now, r.timer = max(r.timer, r.now), Never
		r.router.TimerFired(r.now)
		r.takeDecisions()
	}
	r.now = to
}

func (r *scenarioRunner) endAttempt(words []string, id int, options map[string]int) {
	r.t.Helper()
	outcome, ok := outcomeByName(words[2])
	if !ok {
		r.t.Fatalf("%s: unknown outcome", r.command)
	}
	answered := words[len(words)-1] == "answered"
	r.router.AttemptEnded(r.now, RequestID(id), r.lastAttempts[id], outcome, Nanos(options["after"])*ms, answered,
		NoLoadReport)
	if held := options["held"]; held == 0 {
		r.router.StateHeldSince(r.now, RequestID(id), Never)
	} else if held > 0 {
		r.router.StateHeldSince(r.now, RequestID(id), Nanos(held)*ms)
	}
}

func (r *scenarioRunner) countAttempts(server ServerID) {
	r.takeDecisions()
	for _, decision := range r.decisions {
		if decision.Action == SendAttempt && decision.Server == server {
			r.attemptCount++
		}
	}
	r.decisions = r.decisions[:0]
}

func (r *scenarioRunner) expect(words []string) {
	r.t.Helper()
	if len(r.decisions) == 0 {
		r.t.Fatalf("at %d: %s: got no decision", r.now/ms, r.command)
	}
	got := r.decisions[0]
	r.decisions = r.decisions[1:]
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
		r.t.Fatalf("at %d: %s: got action %s, request %d, server %d", r.now/ms, r.command, name, got.Request, got.Server)
	}
}

func (r *scenarioRunner) expectNothing(where string) {
	r.t.Helper()
	r.takeDecisions()
	if len(r.decisions) > 0 {
		r.t.Fatalf("at %d: %s: got %+v, want no decision", r.now/ms, where, r.decisions[0])
	}
}
