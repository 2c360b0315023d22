package scenario

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"docksail/internal/config"
	"docksail/policy"
)

// benchDay is the part of a bench's day file that a drill can play. Times are microseconds.
type benchDay struct {
	Length  int64    `json:"length"`
	Zones   []string `json:"zones"`
	Traffic struct {
		Load float64 `json:"load"`
	} `json:"traffic"`
	Clients struct {
		Retries int `json:"retries"`
	} `json:"clients"`
	Discovery struct {
		Notice int64 `json:"notice"`
	} `json:"discovery"`
	Allow struct {
		Most int64 `json:"max_attempts"`
	} `json:"allow"`
	Multiple float64 `json:"fall_multiple"`
	Over     int64   `json:"fall_for"`
	Classes  []struct {
		Name   string  `json:"name"`
		Share  float64 `json:"share"`
		Aim    int64   `json:"aim"`
		Limit  int64   `json:"deadline"`
		Worth  float64 `json:"worth"`
		Effect string  `json:"effect"`
		Group  string  `json:"group"`
		Window int64   `json:"window"`
	} `json:"classes"`
	Tiers []struct {
		Kinds []struct {
			Name     string  `json:"name"`
			Slots    int     `json:"slots"`
			Queue    int     `json:"queue"`
			ColdFrom float64 `json:"cold_from"`
			Cold     int64   `json:"cold"`
		} `json:"kinds"`
	} `json:"tiers"`
	Servers []struct {
		Zone  int     `json:"zone"`
		Kind  int     `json:"kind"`
		Cell  int     `json:"cell"`
		Speed float64 `json:"speed"`
		Up    bool    `json:"up"`
	} `json:"servers"`
	Balancers []struct {
		Zone int `json:"zone"`
	} `json:"balancers"`
	Troubles []struct {
		Kind  string  `json:"kind"`
		At    int64   `json:"at"`
		Len   int64   `json:"len"`
		Size  float64 `json:"size"`
		On    []int   `json:"on"`
		Which int     `json:"which"`
	} `json:"troubles"`
	Family struct {
		Release int64    `json:"release"`
		Near    float64  `json:"near"`
		Roles   []string `json:"roles"`
		Engines []struct {
			Memory int64   `json:"memory"`
			Reads  float64 `json:"read_per_s"`
			Step   float64 `json:"step_ms"`
		} `json:"engines"`
		Talks []struct {
			Per1k  float64 `json:"aim_ms_per_k"`
			MaxOut int     `json:"max_out"`
			New    float64 `json:"new_tokens"`
			Out    float64 `json:"out_tokens"`
			Prefix float64 `json:"prefix_tokens"`
			Gap    float64 `json:"token_aim_ms"`
			Turns  float64 `json:"turns"`
		} `json:"talks"`
	} `json:"fam"`
}

// importedFaults maps the bench's kinds of trouble to ours; size is what factor its size becomes.
var importedFaults = map[string]struct {
	kind   string
	factor func(size float64) float64
}{
	"crash":          {"crash", nil},
	"hang":           {"hang", nil},
	"fast_errors":    {"errors", func(x float64) float64 { return min(max(x, 0.1), 1) }},
	"slow":           {"slow", func(x float64) float64 { return max(x, 1) }},
	"vanish":         {"vanish", nil},
	"ageing":         {"ageing", nil},
	"class_fail":     {"deaf", nil},
	"origin_slow":    {"links", func(x float64) float64 { return max(x, 1) }},
	"report_late":    {"reports", nil},
	"pauses":         {"pauses", nil},
	"zone_cut":       {"cut", nil},
	"burst":          {"burst", func(x float64) float64 { return max(x, 1) }},
	"heavy_tail":     {"heavy", func(x float64) float64 { return max(x, 2) }},
	"mass_restart":   {"rack", nil},
	"balancer_crash": {"dispatcher", nil},
	"preempt":        {"drain", nil},
	"neighbour":      {"neighbour", func(x float64) float64 { return max(x, 1) }},
}

// Import turns a bench's day into a script with about so many hosts and dispatchers at most. What it cannot play is
// named; the rest is played all the same.
func Import(text []byte, hosts, dispatchers int) (*Script, []string, error) {
	var d benchDay
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, nil, fmt.Errorf("bench day: %w", err)
	}
	if len(d.Servers) == 0 || len(d.Tiers) != 1 || len(d.Family.Roles) != len(d.Tiers[0].Kinds) ||
		len(d.Family.Engines) != len(d.Tiers[0].Kinds) || len(d.Family.Talks) != len(d.Classes) {
		return nil, nil, fmt.Errorf("bench day: no two-stage day: %d servers, %d tiers, %d roles, %d classes", len(d.Servers),
			len(d.Tiers), len(d.Family.Roles), len(d.Classes))
	}
	us := func(x int64) time.Duration { return (time.Duration(x) * time.Microsecond).Round(time.Millisecond) }
	var cannot []string
	kinds := d.Tiers[0].Kinds
	s := &Script{
		Seed: 1, Duration: us(d.Length), DiscoveryDelay: us(d.Discovery.Notice), ReleaseTime: us(d.Family.Release), MaxAttempts: d.Allow.Most,
		SlowStart: SlowStart{InitialCapacity: 1, OverloadFactor: d.Multiple, OverloadWindow: us(d.Over)},
	}
	for _, k := range kinds {
		s.SlowStart.InitialCapacity = min(s.SlowStart.InitialCapacity, k.ColdFrom)
		s.SlowStart.WarmupTime = max(s.SlowStart.WarmupTime, us(k.Cold))
	}

	// Hosts: every n-th of each kind and cell, at least one; a trouble follows those that it was on.
	every := max(1, float64(len(d.Servers))/float64(hosts))
	groups := map[[3]int][]int{}
	var order [][3]int
	for i, h := range d.Servers {
		if !h.Up {
			continue
		}
		g := [3]int{h.Zone, h.Cell, h.Kind}
		if groups[g] == nil {
			order = append(order, g)
		}
		groups[g] = append(groups[g], i)
	}
	slices.SortFunc(order, func(a, b [3]int) int { return slices.Compare(a[:], b[:]) })
	number := map[int]int{} // of the bench's hosts, those that are played
	stands := map[int]int{} // each of the bench's hosts, by one that is played
	n := 0
	perJob := 0.0
	for i, t := range d.Family.Talks {
		perJob += d.Classes[i].Share * t.New
	}
	answers := 0.0
	for i, t := range d.Family.Talks {
		answers += d.Classes[i].Share * t.Out
	}
	readers := 0.0
	for _, g := range order {
		all := groups[g]
		k, e := kinds[g[2]], d.Family.Engines[g[2]]
		count := max(1, int(math.Round(float64(len(all))/every)))
		role := map[string]Role{"read": Prefill, "write": Decode, "both": Mixed}[d.Family.Roles[g[2]]]
		h := ServerGroup{
			Count: count, Role: role, Zone: d.Zones[g[0]], Cell: fmt.Sprint("c", g[1]), Slots: max(k.Slots, 1), QueueLength: k.Queue,
			MemoryTokens: e.Memory, PrefillRate: e.Reads, TransferRate: d.Family.Near, TokenGap: time.Duration(e.Step * 1e6).Round(time.Microsecond),
		}
		h.TokenGap = max(h.TokenGap, time.Millisecond)
		h.RequestsPerSecond = e.Reads / max(perJob, 1)
		if role != Prefill {
			h.RequestsPerSecond = float64(h.Slots) / max(answers*h.TokenGap.Seconds()*1.5, 0.01)
		} else {
			readers += float64(count) * h.RequestsPerSecond
		}
		s.Servers = append(s.Servers, h)
		for j, i := range all {
			stands[i] = n + 1 + j%count
			if j < count {
				number[i] = n + 1 + j
			}
		}
		n += count
	}
	seen := max(1, min(dispatchers, len(d.Balancers)))
	for i := range seen {
		s.Dispatchers = append(s.Dispatchers, Dispatcher{Zone: d.Zones[d.Balancers[i*len(d.Balancers)/seen].Zone]})
	}
	total := 0.0
	for _, c := range d.Classes {
		total += c.Share
	}
	for i, c := range d.Classes {
		t := d.Family.Talks[i]
		tr := Class{
			Name: c.Name, Share: c.Share / total, LatencyTarget: us(c.Aim), LatencyTargetPer1k: time.Duration(t.Per1k * 1e6), Timeout: us(c.Limit),
			Value: c.Worth, TokenGap: time.Duration(max(t.Gap, 10) * 1e6), DedupWindow: us(c.Window), TurnCount: max(1, int(math.Round(2*t.Turns-1))),
			MinTurnTokens: max(1, int(t.New/2)), MaxTurnTokens: int(1.5 * t.New), PrefixTokens: int(t.Prefix), PrefixCount: 8,
			MaxAnswerTokens: max(1, int(min(1.33*t.Out, float64(t.MaxOut)))), MaxRetries: d.Clients.Retries, IdleTime: time.Second,
		}
		effect := map[string]policy.Idempotency{"safe": policy.Idempotent, "keyed": policy.Deduplicated, "unsafe": policy.NonIdempotent}
		e, ok := effect[c.Effect]
		if !ok {
			cannot = append(cannot, fmt.Sprintf("class %s: effect %q, played as idempotent", c.Name, c.Effect))
		}
		tr.Idempotency = config.Idempotency(e)
		switch c.Group {
		case "zone":
			tr.DedupScope = config.DedupScope(policy.DedupScopeZone)
		case "cell":
			tr.DedupScope = config.DedupScope(policy.DedupScopeCell)
		}
		s.Classes = append(s.Classes, tr)
	}
	turns := 0.0
	for i, c := range d.Classes {
		turns += c.Share / total * d.Family.Talks[i].Turns
	}
	s.SessionsPerSecond = math.Round(100*d.Traffic.Load*readers/2/max(turns, 1)) / 100 // kept text and writers make about half of it good

	for _, t := range d.Troubles {
		k, ok := importedFaults[t.Kind]
		if !ok {
			cannot = append(cannot, fmt.Sprintf("trouble %q at %v", t.Kind, us(t.At)))
			continue
		}
		mine := Fault{Kind: k.kind, Start: us(t.At), Duration: us(t.Len)}
		if k.factor != nil {
			mine.Factor = math.Round(100*k.factor(t.Size)) / 100
		}
		switch k.kind {
		case "deaf":
			if t.Which < 0 || t.Which >= len(d.Classes) {
				cannot = append(cannot, fmt.Sprintf("trouble %q at %v: class %d", t.Kind, us(t.At), t.Which))
				continue
			}
			mine.Class = d.Classes[t.Which].Name
		case "cut":
			if t.Which < 0 || t.Which >= len(d.Zones) {
				cannot = append(cannot, fmt.Sprintf("trouble %q at %v: zone %d", t.Kind, us(t.At), t.Which))
				continue
			}
			mine.Zone = d.Zones[t.Which]
		}
		if k.kind == "dispatcher" {
			done := map[int]bool{}
			for _, b := range t.On {
				m := mine
				if m.Dispatcher = b * seen / max(len(d.Balancers), 1); m.Dispatcher < seen && !done[m.Dispatcher] {
					done[m.Dispatcher] = true
					s.Faults = append(s.Faults, m)
				}
			}
			continue
		}
		if k.kind != "burst" && k.kind != "heavy" && k.kind != "cut" {
			for _, i := range t.On {
				if h := stands[i]; h > 0 && !slices.Contains(mine.Servers, h) && (number[i] > 0 || len(mine.Servers) == 0) {
					mine.Servers = append(mine.Servers, h)
				}
			}
			slices.Sort(mine.Servers)
			if len(mine.Servers) == 0 && k.kind != "links" && k.kind != "reports" && k.kind != "pauses" {
				cannot = append(cannot, fmt.Sprintf("trouble %q at %v: none of its hosts is played", t.Kind, us(t.At)))
				continue
			}
		}
		s.Faults = append(s.Faults, mine)
	}
	return s, cannot, nil
}

// Encode writes a script as Parse reads it.
func (s *Script) Encode() ([]byte, error) {
	b, err := json.MarshalIndent(encodedFields(s), "", "  ")
	if err != nil {
		return nil, err
	}
	return append(b, '\n'), nil
}

// encodedFields spells lengths of time and names out.
func encodedFields(s *Script) map[string]any {
	text := func(v any) any {
		b, err := json.Marshal(v)
		if err != nil {
			panic(err)
		}
		var out any
		if err := json.Unmarshal(b, &out); err != nil {
			panic(err)
		}
		return encodeValue(out, "")
	}
	m := text(s).(map[string]any)
	for i, t := range s.Classes {
		to := m["classes"].([]any)[i].(map[string]any)
		to["effect"] = []string{"idempotent", "deduplicated", "non_idempotent"}[t.Idempotency]
		to["group"] = []string{"all", "zone", "cell"}[t.DedupScope]
	}
	return m
}

// durationFields are the fields that hold lengths of time.
const durationFields = " for lister_late release_within warm_after overload_window token_gap target target_per_1000_tokens timeout window idle at "

func encodeValue(v any, name string) any {
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			if x == nil || x == "" { // as if it were not there
				delete(v, k)
			} else {
				v[k] = encodeValue(x, k)
			}
		}
	case []any:
		for i, x := range v {
			v[i] = encodeValue(x, "")
		}
	case float64:
		if strings.Contains(durationFields, " "+name+" ") {
			return time.Duration(v).String()
		}
		if v == math.Trunc(v) {
			return int64(v)
		}
	}
	return v
}
