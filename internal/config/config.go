package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"docksail/internal/decide/admission"
	"docksail/internal/state/endpointlist"
	"docksail/policy"
)

// Dispatcher is what one dispatcher is told at its start.
type Dispatcher struct {
	Listen       netip.AddrPort `json:"listen" need:"an address and port, as \"127.0.0.1:7600\""`
	SharePort    bool           `json:"share_port"` // several processes may listen on it
	Zone         string         `json:"zone"`
	Index        int32          `json:"number"` // which of the dispatchers this one is, from 0
	Count        int32          `json:"count"`  // how many there are
	Seed         uint64         `json:"seed"`   // feeds all chance; 0 = taken from the clock
	HashKey      uint64         `json:"hash_key"`
	Discovery    Discovery      `json:"fleet" need:"where the list of engines comes from"`
	Classes      []Class        `json:"classes" was:"tracks" need:"a list of classes"`
	Tenants      []Tenant       `json:"tenants"`
	SlowStart    SlowStart      `json:"cold_start" need:"what a server bears that has just started"`
	Attempts     AttemptLimits  `json:"attempts" was:"launches"`
	Responses    Responses      `json:"answers"`
	Rules        Rules          `json:"rules" need:"the times of the rules"`
	Limits       Limits         `json:"limits"`
	Batch        Batch          `json:"batch"`
	StatusFile   string         `json:"status_file"`  // written every second, for docksail view
	FIFO         bool           `json:"first_come"`   // the door lets jobs in as they came: a baseline to measure against
	DrainTimeout time.Duration  `json:"drain_within"` // requests in hand have so long after the signal to drain

	Warnings []string // names of the release before that were read
}

// Batch is the API for files of jobs; without an address to listen on there is none.
type Batch struct {
	Listen              netip.AddrPort `json:"listen"`
	Directory           string         `json:"dir"`         // of files and results
	QuotaBytes          int64          `json:"quota_bytes"` // of a tenant's files; 0 = no bound
	MaxFileBytes        int64          `json:"file_bytes"`
	MaxLineBytes        int            `json:"line_bytes"`
	MaxLines            int            `json:"lines"`     // of a file
	MaxLinesInFlight    int            `json:"lines_out"` // at once
	InitialBackoff      time.Duration  `json:"again_after"`
	MaxCompletionWindow time.Duration  `json:"longest_window"`
	FileRetention       time.Duration  `json:"keep_files"` // 0 = for good
	Keys                []Key          `json:"keys"`
}

// Key is how a caller of the batch API is known.
type Key struct {
	Hash   string `json:"sha256" need:"the SHA-256 of the key, in hex"`
	Tenant string `json:"tenant"`
}

// Discovery says where the list of engines comes from: a lister that is watched, or a file.
type Discovery struct {
	Watch         netip.AddrPort `json:"watch"`
	File          string         `json:"file"`
	CacheFile     string         `json:"keep"`       // file that keeps the list for the next start
	RetryInterval time.Duration  `json:"ask_within"` // a lost list is asked for again several times in this
}

// Class is one class of jobs.
type Class struct {
	Name               string        `json:"name" need:"a name"`
	LatencyTarget      time.Duration `json:"target" was:"expected" need:"the time in which the first token is wanted"`
	LatencyTargetPer1k time.Duration `json:"target_per_1000_tokens" was:"expected_per_1000_tokens"`
	Timeout            time.Duration `json:"timeout" was:"patience" need:"the client's whole time"`
	Value              float64       `json:"value" was:"payoff"`
	LateValue          float64       `json:"late_value" was:"late_payoff"`
	InterTokenTarget   time.Duration `json:"token_gap" need:"the time wanted between tokens"`
	Idempotency        Idempotency   `json:"effect" need:"idempotent, deduplicated or non_idempotent"`
	DedupScope         DedupScope    `json:"group"`
	DedupWindow        time.Duration `json:"window"`
}

// Tenant is one payer.
type Tenant struct {
	Name                 string  `json:"name" need:"a name"`
	RequestsPerSecond    float64 `json:"requests_per_second" was:"jobs_per_second" need:"the requests a second it is entitled to, over all dispatchers"`
	Weight               float64 `json:"weight"`          // its part at the door; 0 = as jobs_per_second
	MaxRequestsPerSecond float64 `json:"most_per_second"` // jobs a second that this dispatcher takes of it; 0 = no limit
	MaxWaiting           int     `json:"most_waiting"`    // its jobs at the door; 0 = as many as fit
	MaxRunning           int     `json:"most_running"`    // its jobs let in and not over; 0 = no limit
	MaxPromptTokens      int64   `json:"prompt_tokens"`   // of one job; 0 = the limit of all
}

// SlowStart is what hosts bear that have just started.
type SlowStart struct {
	InitialCapacity float64       `json:"from" need:"the share of its capacity with which a server starts"`
	WarmupTime      time.Duration `json:"warm_after" need:"the time after which it is warm"`
	OverloadFactor  float64       `json:"overload_factor" was:"topples_at" need:"the multiple of what it can do at which it fails"`
	OverloadWindow  time.Duration `json:"overload_window" was:"topples_over" need:"the time over which it fails"`
}

// AttemptLimits bounds what is sent.
type AttemptLimits struct {
	MaxAttempts      int32         `json:"most"`
	CanCancel        bool          `json:"cancel" was:"recall"`
	DecodeCanPrefill bool          `json:"decode_reads" was:"writers_read"`
	ConnectTimeout   time.Duration `json:"connect_within"`
}

// Responses bounds final answers.
type Responses struct {
	DeadlineMargin time.Duration `json:"ahead"` // answers leave so long before the client's time is up
	RoundInterval  time.Duration `json:"round"`
	SendRetryAfter bool          `json:"advice"`
	MaxRetryAfter  time.Duration `json:"most_advice"`
}

// Rules are the times that the rules name.
type Rules struct {
	ReleaseTime time.Duration `json:"release_within" need:"the time in which KV state is fetched or released"`
	DrainGrace  time.Duration `json:"drain_grace"`
}

// Limits bound what the dispatcher holds. 0 stands for the usual.
type Limits struct {
	MaxRequests       int `json:"requests" was:"jobs"` // in hand
	MaxConnections    int `json:"connections"`         // of clients
	MaxStreams        int `json:"streams"`             // on one connection
	StreamWindowBytes int `json:"stream_window"`       // bytes an engine may be ahead of a client
	MaxMessageBytes   int `json:"message_bytes"`
	MaxHeaderBytes    int `json:"header_bytes"`
	MaxPromptTokens   int `json:"prompt_tokens"`
	MaxOutputBytes    int `json:"output_bytes"`                        // queued for one connection
	MaxPartialBytes   int `json:"partial_bytes"`                       // of messages that have come in part, on all connections together
	MaxWaiting        int `json:"requests_waiting" was:"jobs_waiting"` // at the door
	MaxClients        int `json:"clients_known"`
	MaxMemoryBytes    int `json:"memory_bytes"` // on the heap, from which on the door sheds what waits; 0 = no bound
}

// Idempotency says what a repeated run of a job would do: redoable, labelled or irreversible.
type Idempotency policy.Idempotency

func (e *Idempotency) UnmarshalText(b []byte) error {
	i, err := oneOf(string(b), "idempotent", "deduplicated", "non_idempotent")
	*e = Idempotency(i)
	return err
}

// FormerNames are those of the release before.
func (*Idempotency) FormerNames() map[string]string {
	return map[string]string{"redoable": "idempotent", "labelled": "deduplicated", "irreversible": "non_idempotent"}
}

// DedupScope is the set of servers that knows a deduplicated request's repeats: all, zone or cell.
type DedupScope policy.DedupScope

func (g *DedupScope) UnmarshalText(b []byte) error {
	i, err := oneOf(string(b), "all", "zone", "cell")
	*g = DedupScope(i)
	return err
}

func oneOf(s string, names ...string) (int, error) {
	for i, name := range names {
		if s == name {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%q, want one of %s", s, strings.Join(names, ", "))
}

// Load reads a file. All that is wrong with it is told in one error, a line each.
func Load(name string) (*Dispatcher, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, text)
}

// Parse reads settings; name stands for the file in errors.
func Parse(name string, text []byte) (*Dispatcher, error) {
	s := Default()
	d := &decoder{name: name, text: text, lines: map[string]int{}}
	d.decode(s)
	if len(d.errs) == 0 {
		s.check(d)
	}
	if err := d.err(); err != nil {
		return nil, err
	}
	s.Warnings = d.warnings
	return s, nil
}

func (s *Dispatcher) check(d *decoder) {
	above := func(path string, v float64) {
		if v <= 0 {
			d.bad(path, "is %v, want more than 0", v)
		}
	}
	if s.Count < 1 {
		d.bad("count", "is %d, want 1 or more", s.Count)
	} else if s.Index < 0 || s.Index >= s.Count {
		d.bad("number", "is %d, want 0 to %d", s.Index, s.Count-1)
	}
	if s.Discovery.Watch.IsValid() == (s.Discovery.File != "") {
		d.bad("fleet", "want either watch or file")
	}
	above("fleet.ask_within", float64(s.Discovery.RetryInterval))
	if len(s.Classes) == 0 {
		d.bad("classes", "is empty, want one class or more")
	}
	names := map[string]bool{}
	for i, t := range s.Classes {
		at := fmt.Sprintf("classes[%d]", i)
		if t.Name == "" || names["class "+t.Name] {
			d.bad(at+".name", "%q is empty or stands twice, want a name of its own", t.Name)
		}
		names["class "+t.Name] = true
		above(at+".target", float64(t.LatencyTarget))
		above(at+".token_gap", float64(t.InterTokenTarget))
		if t.Timeout < t.LatencyTarget {
			d.bad(at+".timeout", "is %v, want at least the target, %v", t.Timeout, t.LatencyTarget)
		}
		if policy.Idempotency(t.Idempotency) == policy.Deduplicated {
			above(at+".window", float64(t.DedupWindow))
		}
	}
	for i, t := range s.Tenants {
		at := fmt.Sprintf("tenants[%d]", i)
		if t.Name == "" || names["tenant "+t.Name] {
			d.bad(at+".name", "%q is empty or stands twice, want a name of its own", t.Name)
		}
		names["tenant "+t.Name] = true
		above(at+".requests_per_second", t.RequestsPerSecond)
		if t.Weight < 0 || t.MaxRequestsPerSecond < 0 || t.MaxWaiting < 0 || t.MaxRunning < 0 || t.MaxPromptTokens < 0 {
			d.bad(at, "has a weight or limit below 0, want 0 for the usual or more")
		}
	}
	if s.SlowStart.InitialCapacity <= 0 || s.SlowStart.InitialCapacity > 1 {
		d.bad("cold_start.from", "is %v, want more than 0 and at most 1", s.SlowStart.InitialCapacity)
	}
	if s.SlowStart.OverloadFactor < 1 {
		d.bad("cold_start.overload_factor", "is %v, want 1 or more", s.SlowStart.OverloadFactor)
	}
	above("cold_start.warm_after", float64(s.SlowStart.WarmupTime))
	above("cold_start.overload_window", float64(s.SlowStart.OverloadWindow))
	if s.Attempts.MaxAttempts < 2 {
		d.bad("attempts.most", "is %d, want 2 or more: one for prefill, one for decode", s.Attempts.MaxAttempts)
	}
	above("attempts.connect_within", float64(s.Attempts.ConnectTimeout))
	above("rules.release_within", float64(s.Rules.ReleaseTime))
	above("answers.round", float64(s.Responses.RoundInterval))
	if s.Responses.DeadlineMargin < 0 {
		d.bad("answers.ahead", "is %v, want 0 or more", s.Responses.DeadlineMargin)
	}
	above("drain_within", float64(s.DrainTimeout))
	if b := &s.Batch; b.Listen.IsValid() {
		if b.Directory == "" {
			d.bad("batch.dir", "is empty, want a directory for files and results")
		}
		if b.QuotaBytes < 0 || b.FileRetention < 0 {
			d.bad("batch", "quota_bytes or keep_files is below 0, want 0 for no bound or more")
		}
		for _, v := range []struct {
			name string
			n    float64
		}{
			{"file_bytes", float64(b.MaxFileBytes)},
			{"line_bytes", float64(b.MaxLineBytes)},
			{"lines", float64(b.MaxLines)},
			{"lines_out", float64(b.MaxLinesInFlight)},
			{"again_after", float64(b.InitialBackoff)},
			{"longest_window", float64(b.MaxCompletionWindow)},
		} {
			above("batch."+v.name, v.n)
		}
		for i, k := range b.Keys {
			at := fmt.Sprintf("batch.keys[%d]", i)
			if h, err := hex.DecodeString(k.Hash); err != nil || len(h) != sha256.Size {
				d.bad(at+".sha256", "is no SHA-256 in hex, want 64 digits")
			}
			if (k.Tenant != "" || len(s.Tenants) > 0) && !names["tenant "+k.Tenant] {
				d.bad(at+".tenant", "%q, want one of the tenants", k.Tenant)
			}
		}
	}
	if s.Limits.MaxMemoryBytes < 0 {
		d.bad("limits.memory_bytes", "is %d, want 0 or more", s.Limits.MaxMemoryBytes)
	}
	for _, l := range []struct {
		name string
		n    int
		low  int
	}{
		{"requests", s.Limits.MaxRequests, 1},
		{"connections", s.Limits.MaxConnections, 1},
		{"streams", s.Limits.MaxStreams, 1},
		{"stream_window", s.Limits.StreamWindowBytes, 1 << 10},
		{"message_bytes", s.Limits.MaxMessageBytes, 1 << 10},
		{"header_bytes", s.Limits.MaxHeaderBytes, 1 << 10},
		{"prompt_tokens", s.Limits.MaxPromptTokens, 1},
		{"requests_waiting", s.Limits.MaxWaiting, 1},
		{"partial_bytes", s.Limits.MaxPartialBytes, s.Limits.MaxMessageBytes},
		{"clients_known", s.Limits.MaxClients, 1},
		{"output_bytes", s.Limits.MaxOutputBytes, 64 << 10},
	} {
		if l.n < l.low || l.n > 1<<30 {
			d.bad("limits."+l.name, "is %d, want %d to %d", l.n, l.low, 1<<30)
		}
	}
}

// TenantLimits gives what tenants may do at the door; where the settings name none, all jobs are one tenant's.
func (s *Dispatcher) TenantLimits() []admission.TenantLimits {
	if len(s.Tenants) == 0 {
		return []admission.TenantLimits{{Weight: 1}}
	}
	var ts []admission.TenantLimits
	for _, t := range s.Tenants {
		w := t.Weight
		if w == 0 {
			w = t.RequestsPerSecond
		}
		ts = append(ts, admission.TenantLimits{Weight: w, RequestsPerSecond: t.MaxRequestsPerSecond, MaxWaiting: t.MaxWaiting, MaxRunning: t.MaxRunning, MaxPromptTokens: t.MaxPromptTokens})
	}
	return ts
}

// NewPolicy starts the decision module that the settings describe. zone numbers the dispatcher's own zone; kinds of
// host are the roles in their order.
func (s *Dispatcher) NewPolicy(seed uint64, zone policy.ZoneID) (*policy.Router, error) {
	tracks := s.PolicyClasses()
	var tenants []policy.Tenant
	for _, t := range s.Tenants {
		tenants = append(tenants, policy.Tenant{RequestsPerSecond: t.RequestsPerSecond})
	}
	return policy.New(policy.Config{
		Seed:    seed,
		Self:    policy.Identity{Number: s.Index, Count: s.Count, Zone: zone},
		Classes: tracks,
		Tenants: tenants,
		Roles:   []policy.Role{policy.Prefill, policy.Decode, policy.Mixed},
		SlowStart: policy.SlowStart{
			InitialCapacity: s.SlowStart.InitialCapacity, WarmupTime: policy.Nanos(s.SlowStart.WarmupTime),
			OverloadFactor: s.SlowStart.OverloadFactor, OverloadWindow: policy.Nanos(s.SlowStart.OverloadWindow),
		},
		Attempts: policy.AttemptLimits{
			MaxAttempts: s.Attempts.MaxAttempts, CanCancel: s.Attempts.CanCancel, DecodeCanPrefill: s.Attempts.DecodeCanPrefill,
		},
		Responses: policy.ResponseSettings{
			DeadlineGrace: 0, RoundInterval: policy.Nanos(s.Responses.RoundInterval), SendRetryAfter: s.Responses.SendRetryAfter,
			MaxRetryAfter: policy.Nanos(s.Responses.MaxRetryAfter),
		},
		Discovery:   policy.Discovery{MaxInterval: policy.Nanos(s.Discovery.RetryInterval)},
		ReleaseTime: policy.Nanos(s.Rules.ReleaseTime),
	})
}

// PolicyClasses gives the tracks as the decision module takes them.
func (s *Dispatcher) PolicyClasses() []policy.Class {
	var tracks []policy.Class
	for _, t := range s.Classes {
		tracks = append(tracks, policy.Class{
			LatencyTarget:      policy.Nanos(t.LatencyTarget),
			LatencyTargetPer1k: policy.Nanos(t.LatencyTargetPer1k), Timeout: policy.Nanos(t.Timeout), Value: t.Value,
			LateValue: t.LateValue, InterTokenTarget: policy.Nanos(t.InterTokenTarget), Idempotency: policy.Idempotency(t.Idempotency),
			DedupScope: policy.DedupScope(t.DedupScope), DedupWindow: policy.Nanos(t.DedupWindow),
		})
	}
	return tracks
}

// Decode reads any other text of this kind into the struct that v points to: fields by their tag json, those with
// the tag need must be there; former names are read without a word. check may add errors about fields by their path.
func Decode(name string, text []byte, v any, check func(bad func(path, format string, args ...any))) error {
	d := &decoder{name: name, text: text, lines: map[string]int{}}
	d.decode(v)
	if len(d.errs) == 0 && check != nil {
		check(d.bad)
	}
	return d.err()
}

// Default gives the settings that hold where a file says nothing.
func Default() *Dispatcher {
	return &Dispatcher{
		Count: 1, Attempts: AttemptLimits{MaxAttempts: 5, CanCancel: true, ConnectTimeout: time.Second},
		Responses: Responses{DeadlineMargin: 20 * time.Millisecond, RoundInterval: time.Millisecond, SendRetryAfter: true, MaxRetryAfter: time.Minute},
		Batch:     Batch{MaxFileBytes: 200 << 20, MaxLineBytes: 1 << 20, MaxLines: 100000, MaxLinesInFlight: 64, InitialBackoff: 500 * time.Millisecond, MaxCompletionWindow: 7 * 24 * time.Hour},
		Discovery: Discovery{RetryInterval: 4 * time.Second}, Rules: Rules{DrainGrace: 500 * time.Millisecond}, DrainTimeout: 30 * time.Second,
		Limits: Limits{
			MaxPartialBytes: 256 << 20, MaxWaiting: 10000, MaxClients: 16384, MaxRequests: 20000, MaxConnections: 20000, MaxStreams: 10000, StreamWindowBytes: 64 << 10, MaxMessageBytes: 4 << 20,
			MaxHeaderBytes: 16 << 10, MaxPromptTokens: 1 << 20, MaxOutputBytes: 4 << 20,
		},
	}
}

// serverList is a list of engines as a file has it.
type serverList struct {
	Servers []serverEntry `json:"servers" was:"hosts" need:"a list of servers"`
}

type serverEntry struct {
	ID      int64          `json:"id" need:"a number above 0"`
	Address netip.AddrPort `json:"address" need:"an address and port"`
	Role    role           `json:"role" need:"prefill, decode or mixed"`
	Zone    string         `json:"zone"`
	Cell    string         `json:"cell"`
	Health  health         `json:"health"`
	Started int64          `json:"started_unix_ns"`
}

type role policy.Role

func (r *role) UnmarshalText(b []byte) error {
	i, err := oneOf(string(b), "prefill", "decode", "mixed")
	*r = role(i)
	return err
}

// FormerNames are those of the release before.
func (*role) FormerNames() map[string]string {
	return map[string]string{"reader": "prefill", "writer": "decode"}
}

type health policy.Health

func (h *health) UnmarshalText(b []byte) error {
	i, err := oneOf(string(b), "serving", "draining", "gone")
	*h = health(i)
	return err
}

// ParseServers reads a list of engines; name stands for the file in errors. The warnings are about names of the
// release before.
func ParseServers(name string, text []byte) (list []endpointlist.Endpoint, warnings []string, err error) {
	var in serverList
	d := &decoder{name: name, text: text, lines: map[string]int{}}
	d.decode(&in)
	seen := map[int64]bool{}
	for i, h := range in.Servers {
		if h.ID < 1 || h.ID > 1<<32-1 || seen[h.ID] {
			d.bad(fmt.Sprintf("servers[%d].id", i), "%d is out of range or stands twice, want a number of its own above 0", h.ID)
		}
		seen[h.ID] = true
		list = append(list, endpointlist.Endpoint{
			ID: policy.ServerID(h.ID), Address: h.Address, Role: policy.Role(h.Role), Zone: h.Zone,
			Cell: h.Cell, Health: policy.Health(h.Health), StartedAt: h.Started,
		})
	}
	if err := d.err(); err != nil {
		return nil, nil, err
	}
	return list, d.warnings, nil
}
