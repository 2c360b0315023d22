package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"docksail/internal/config"
	"docksail/policy"
)

// importedPrefixCount is how many shared prefixes each imported class has.
const importedPrefixCount = 8

var errNotTwoStage = errors.New("not a two-stage day")

// importedFaults maps the bench's kinds of faults to those of scripts; factor converts a fault's size into a Factor.
var importedFaults = map[string]struct {
	kind   FaultKind
	factor func(size float64) float64
}{
	"crash":          {FaultCrash, nil},
	"hang":           {FaultHang, nil},
	"fast_errors":    {FaultErrors, func(size float64) float64 { return min(max(size, 0.1), 1) }},
	"slow":           {FaultSlow, atLeast(1)},
	"vanish":         {FaultVanish, nil},
	"ageing":         {FaultAging, nil},
	"class_fail":     {FaultSilentClass, nil},
	"origin_slow":    {FaultSlowLinks, atLeast(1)},
	"report_late":    {FaultLateReports, nil},
	"pauses":         {FaultPauses, nil},
	"zone_cut":       {FaultPartition, nil},
	"burst":          {FaultBurst, atLeast(1)},
	"heavy_tail":     {FaultLongPrompts, atLeast(2)},
	"mass_restart":   {FaultCellRestart, nil},
	"balancer_crash": {FaultDispatcherRestart, nil},
	"preempt":        {FaultDrain, nil},
	"neighbour":      {FaultNoisyNeighbor, atLeast(1)},
}

func atLeast(least float64) func(float64) float64 {
	return func(size float64) float64 { return max(size, least) }
}

// importer converts a day of the bench into a script.
type importer struct {
	day            *benchDay
	script         *Script
	unsupported    []string
	maxServers     int
	numbers        map[int]int // numbers in the script, by index in the day, of the servers that are played themselves
	representative map[int]int // for each index in the day the number in the script of the server that stands for it
	serverCount    int
	shareSum       float64 // of the classes
	prefillRate    float64 // of all prefill servers, in requests a second
}

// Import converts a day of the bench into a script with about so many servers and at most so many dispatchers. It also
// returns a description of everything in the day that a script cannot represent.
func Import(text []byte, servers, dispatchers int) (*Script, []string, error) {
	var day benchDay
	if err := json.Unmarshal(text, &day); err != nil {
		return nil, nil, fmt.Errorf("bench day: %w", err)
	}
	if err := day.validate(); err != nil {
		return nil, nil, fmt.Errorf("bench day: %w", err)
	}
	im := importer{
		day: &day, script: &Script{Seed: 1}, maxServers: servers,
		numbers: map[int]int{}, representative: map[int]int{},
	}
	im.importSettings()
	im.importServers()
	im.importDispatchers(dispatchers)
	im.importClasses()
	im.importSessionRate()
	for i := range day.Faults {
		im.importFault(&day.Faults[i])
	}
	return im.script, im.unsupported, nil
}

// validate returns an error if the day is not one with a prefill and a decode stage.
func (d *benchDay) validate() error {
	if len(d.Servers) > 0 && len(d.Dispatchers) > 0 && len(d.Tiers) == 1 &&
		len(d.Family.Roles) == len(d.Tiers[0].Kinds) && len(d.Family.Engines) == len(d.Tiers[0].Kinds) &&
		len(d.Family.Conversations) == len(d.Classes) {
		return nil
	}
	return fmt.Errorf("%w: %d servers, %d dispatchers, %d tiers, %d roles, %d classes", errNotTwoStage,
		len(d.Servers), len(d.Dispatchers), len(d.Tiers), len(d.Family.Roles), len(d.Classes))
}

// fromMicroseconds converts a time of a day, rounded to milliseconds.
func fromMicroseconds(x int64) time.Duration {
	return (time.Duration(x) * time.Microsecond).Round(time.Millisecond)
}

// unsupportedf records something that the script cannot represent.
func (im *importer) unsupportedf(format string, args ...any) {
	im.unsupported = append(im.unsupported, fmt.Sprintf(format, args...))
}

func (im *importer) importSettings() {
	day, s := im.day, im.script
	s.Duration = fromMicroseconds(day.Length)
	s.DiscoveryDelay = fromMicroseconds(day.Discovery.Delay)
	s.ReleaseTime = fromMicroseconds(day.Family.ReleaseTime)
	s.MaxAttempts = day.Allow.MaxAttempts
	s.SlowStart = SlowStart{
		InitialCapacity: 1,
		OverloadFactor:  day.OverloadFactor,
		OverloadWindow:  fromMicroseconds(day.OverloadWindow),
	}
	for _, kind := range day.Tiers[0].Kinds {
		s.SlowStart.InitialCapacity = min(s.SlowStart.InitialCapacity, kind.InitialCapacity)
		s.SlowStart.WarmupTime = max(s.SlowStart.WarmupTime, fromMicroseconds(kind.WarmupTime))
	}
}

// serverGroupKey identifies the servers of one kind and cell by their indexes.
type serverGroupKey struct{ zone, cell, kind int }

// serverGroups returns the indexes of the servers that are up, by group, and the groups in order.
func (d *benchDay) serverGroups() (groups map[serverGroupKey][]int, order []serverGroupKey) {
	groups = map[serverGroupKey][]int{}
	for i, server := range d.Servers {
		if !server.IsUp {
			continue
		}
		key := serverGroupKey{server.Zone, server.Cell, server.Kind}
		if groups[key] == nil {
			order = append(order, key)
		}
		groups[key] = append(groups[key], i)
	}
	slices.SortFunc(order, func(a, b serverGroupKey) int {
		return slices.Compare([]int{a.zone, a.cell, a.kind}, []int{b.zone, b.cell, b.kind})
	})
	return groups, order
}

// importServers scales every group of servers down, to one server at least.
func (im *importer) importServers() {
	scale := max(1, float64(len(im.day.Servers))/float64(im.maxServers))
	promptTokens, answerTokens := im.day.meanTokens()
	groups, order := im.day.serverGroups()
	for _, key := range order {
		members := groups[key]
		group := im.serverGroup(key, promptTokens, answerTokens)
		group.Count = max(1, int(math.Round(float64(len(members))/scale)))
		if group.Role == Prefill {
			im.prefillRate += float64(group.Count) * group.RequestsPerSecond
		}
		im.script.Servers = append(im.script.Servers, group)
		for j, i := range members {
			im.representative[i] = im.serverCount + 1 + j%group.Count
			if j < group.Count {
				im.numbers[i] = im.serverCount + 1 + j
			}
		}
		im.serverCount += group.Count
	}
}

// meanTokens returns the mean tokens of a turn's prompt and of an answer.
func (d *benchDay) meanTokens() (prompt, answer float64) {
	for i, conversation := range d.Family.Conversations {
		prompt += d.Classes[i].Share * conversation.TurnTokens
		answer += d.Classes[i].Share * conversation.AnswerTokens
	}
	return prompt, answer
}

// serverGroup returns a group of servers without their count.
func (im *importer) serverGroup(key serverGroupKey, promptTokens, answerTokens float64) ServerGroup {
	family := &im.day.Family
	kind, engine := im.day.Tiers[0].Kinds[key.kind], family.Engines[key.kind]
	group := ServerGroup{
		Role:         map[string]Role{"read": Prefill, "write": Decode, "both": Mixed}[family.Roles[key.kind]],
		Zone:         im.day.Zones[key.zone],
		Cell:         fmt.Sprint("c", key.cell),
		Slots:        max(kind.Slots, 1),
		QueueLength:  kind.QueueLength,
		MemoryTokens: engine.MemoryTokens,
		PrefillRate:  engine.PrefillRate,
		TransferRate: family.TransferRate,
		TokenGap:     time.Duration(engine.StepMilliseconds * 1e6).Round(time.Microsecond),
	}
	group.TokenGap = max(group.TokenGap, time.Millisecond)
	group.RequestsPerSecond = engine.PrefillRate / max(promptTokens, 1)
	if group.Role != Prefill {
		group.RequestsPerSecond = float64(group.Slots) / max(answerTokens*group.TokenGap.Seconds()*1.5, 0.01)
	}
	return group
}

// importDispatchers takes up to so many dispatchers, evenly spread over those of the day.
func (im *importer) importDispatchers(limit int) {
	all := im.day.Dispatchers
	count := max(1, min(limit, len(all)))
	for i := range count {
		zone := im.day.Zones[all[i*len(all)/count].Zone]
		im.script.Dispatchers = append(im.script.Dispatchers, Dispatcher{Zone: zone})
	}
}

func (im *importer) importClasses() {
	for _, c := range im.day.Classes {
		im.shareSum += c.Share
	}
	for i := range im.day.Classes {
		im.importClass(&im.day.Classes[i], &im.day.Family.Conversations[i])
	}
}

func (im *importer) importClass(c *benchClass, conversation *benchConversation) {
	class := Class{
		Name:               c.Name,
		Share:              c.Share / im.shareSum,
		LatencyTarget:      fromMicroseconds(c.LatencyTarget),
		LatencyTargetPer1k: time.Duration(conversation.TargetPer1kMilliseconds * 1e6),
		Timeout:            fromMicroseconds(c.Timeout),
		Value:              c.Value,
		TokenGap:           time.Duration(max(conversation.TokenGapMilliseconds, 10) * 1e6),
		DedupWindow:        fromMicroseconds(c.DedupWindow),
		TurnCount:          max(1, int(math.Round(2*conversation.Turns-1))),
		MinTurnTokens:      max(1, int(conversation.TurnTokens/2)),
		MaxTurnTokens:      int(1.5 * conversation.TurnTokens),
		PrefixTokens:       int(conversation.PrefixTokens),
		PrefixCount:        importedPrefixCount,
		MaxAnswerTokens:    max(1, int(min(1.33*conversation.AnswerTokens, float64(conversation.MaxAnswerTokens)))),
		MaxRetries:         im.day.Clients.Retries,
		IdleTime:           time.Second,
	}
	switch c.Idempotency {
	case "safe":
		class.Idempotency = config.Idempotency(policy.Idempotent)
	case "keyed":
		class.Idempotency = config.Idempotency(policy.Deduplicated)
	case "unsafe":
		class.Idempotency = config.Idempotency(policy.NonIdempotent)
	default:
		class.Idempotency = config.Idempotency(policy.Idempotent)
		im.unsupportedf("class %s: effect %q, played as idempotent", c.Name, c.Idempotency)
	}
	switch c.DedupScope {
	case "zone":
		class.DedupScope = config.DedupScope(policy.DedupScopeZone)
	case "cell":
		class.DedupScope = config.DedupScope(policy.DedupScopeCell)
	}
	im.script.Classes = append(im.script.Classes, class)
}

// importSessionRate sets the rate of sessions from the load of the day. Cached prefixes and the decode servers allow
// about half of what the prefill servers could do.
func (im *importer) importSessionRate() {
	turns := 0.0
	for i, c := range im.day.Classes {
		turns += c.Share / im.shareSum * im.day.Family.Conversations[i].Turns
	}
	im.script.SessionsPerSecond = math.Round(100*im.day.Traffic.Load*im.prefillRate/2/max(turns, 1)) / 100
}

// importFault adds a fault, or records that it is not supported.
func (im *importer) importFault(f *benchFault) {
	start := fromMicroseconds(f.Start)
	imported, ok := importedFaults[f.Kind]
	if !ok {
		im.unsupportedf("fault %q at %v", f.Kind, start)
		return
	}
	fault := Fault{Kind: imported.kind, Start: start, Duration: fromMicroseconds(f.Duration)}
	if imported.factor != nil {
		fault.Factor = math.Round(100*imported.factor(f.Factor)) / 100
	}
	switch fault.Kind {
	case FaultSilentClass:
		if f.Index < 0 || f.Index >= len(im.day.Classes) {
			im.unsupportedf("fault %q at %v: class %d, want 0 to %d", f.Kind, start, f.Index, len(im.day.Classes)-1)
			return
		}
		fault.Class = im.day.Classes[f.Index].Name
	case FaultPartition:
		if f.Index < 0 || f.Index >= len(im.day.Zones) {
			im.unsupportedf("fault %q at %v: zone %d, want 0 to %d", f.Kind, start, f.Index, len(im.day.Zones)-1)
			return
		}
		fault.Zone = im.day.Zones[f.Index]
	case FaultDispatcherRestart:
		im.importDispatcherFault(fault, f.Targets)
		return
	default: // the other kinds are described by their servers alone
	}
	if fault.hasNoServers() {
		im.script.Faults = append(im.script.Faults, fault)
		return
	}
	fault.Servers = im.importTargets(f.Targets)
	if len(fault.Servers) == 0 && !fault.permitsAllServers() {
		im.unsupportedf("fault %q at %v: none of its servers is in the script", f.Kind, start)
		return
	}
	im.script.Faults = append(im.script.Faults, fault)
}

// hasNoServers reports whether the fault is not one of single servers.
func (f Fault) hasNoServers() bool {
	return f.Kind == FaultBurst || f.Kind == FaultLongPrompts || f.Kind == FaultPartition
}

// permitsAllServers reports whether a fault that names no servers may affect all of them.
func (f Fault) permitsAllServers() bool {
	return f.Kind == FaultSlowLinks || f.Kind == FaultLateReports || f.Kind == FaultPauses
}

// importDispatcherFault adds the fault once for each dispatcher of the script that stands for one of targets.
func (im *importer) importDispatcherFault(fault Fault, targets []int) {
	count := len(im.script.Dispatchers)
	seen := map[int]bool{}
	for _, target := range targets {
		fault.Dispatcher = target * count / len(im.day.Dispatchers)
		if fault.Dispatcher < count && !seen[fault.Dispatcher] {
			seen[fault.Dispatcher] = true
			im.script.Faults = append(im.script.Faults, fault)
		}
	}
}

// importTargets returns the numbers of those servers that are in the script, or of one that stands for the first.
func (im *importer) importTargets(targets []int) []int {
	var numbers []int
	for _, i := range targets {
		number := im.representative[i]
		isPlayed := im.numbers[i] > 0
		if number > 0 && !slices.Contains(numbers, number) && (isPlayed || len(numbers) == 0) {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}
