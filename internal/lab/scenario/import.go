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

// importedPrefixCount is the number of shared prefixes of each imported class.
const importedPrefixCount = 8

var errNotTwoStage = errors.New("day does not have a prefill and a decode stage")

// importedFaults maps the bench's kinds of faults to those of scripts. factor converts a size to a Factor; nil = none.
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

// atLeast returns a conversion of sizes to factors with a minimum.
func atLeast(minimum float64) func(float64) float64 {
	return func(size float64) float64 { return max(size, minimum) }
}

// importer converts a day of the bench into a script.
type importer struct {
	day            *benchDay
	script         *Script
	unsupported    []string
	maxServers     int
	numbers        map[int]int // by index in the day: number in the script of a server that is imported itself
	representative map[int]int // by index in the day: number in the script of the server that represents it
	serverCount    int
	shareSum       float64 // of the classes
	prefillRate    float64 // sum over the prefill servers, in requests per second
}

// Import converts a day of the bench into a script, scaled down to about the given number of servers and at most the
// given number of dispatchers. It also returns descriptions of everything in the day that a script cannot represent.
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

// validate returns an error if the day does not have a prefill and a decode stage.
func (d *benchDay) validate() error {
	if len(d.Servers) > 0 && len(d.Dispatchers) > 0 && len(d.Tiers) == 1 &&
		len(d.Serving.Roles) == len(d.Tiers[0].Kinds) && len(d.Serving.Engines) == len(d.Tiers[0].Kinds) &&
		len(d.Serving.Conversations) == len(d.Classes) {
		return nil
	}
	return fmt.Errorf("%w: %d servers, %d dispatchers, %d tiers, %d roles, %d classes", errNotTwoStage,
		len(d.Servers), len(d.Dispatchers), len(d.Tiers), len(d.Serving.Roles), len(d.Classes))
}

// fromMicroseconds converts a time of a day to a duration, rounded to milliseconds.
func fromMicroseconds(x int64) time.Duration {
	return (time.Duration(x) * time.Microsecond).Round(time.Millisecond)
}

// unsupportedf records a part of the day that a script cannot represent.
func (im *importer) unsupportedf(format string, args ...any) {
	im.unsupported = append(im.unsupported, fmt.Sprintf(format, args...))
}

func (im *importer) importSettings() {
	day, s := im.day, im.script
	s.Duration = fromMicroseconds(day.Length)
	s.DiscoveryDelay = fromMicroseconds(day.Discovery.Delay)
	s.ReleaseTime = fromMicroseconds(day.Serving.ReleaseTime)
	s.MaxAttempts = day.Limits.MaxAttempts
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

// serverGroupKey identifies the servers of one zone, cell and kind.
type serverGroupKey struct{ zone, cell, kind int }

// serverGroups returns the indexes of the servers that are up, by group, and the sorted groups.
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

// importServers scales every group of servers down, to at least one server.
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

// meanTokens returns the mean number of tokens that a turn adds to the prompt, and of an answer.
func (d *benchDay) meanTokens() (prompt, answer float64) {
	for i, conversation := range d.Serving.Conversations {
		prompt += d.Classes[i].Share * conversation.TurnTokens
		answer += d.Classes[i].Share * conversation.AnswerTokens
	}
	return prompt, answer
}

// serverGroup returns the group of servers for a key, without its count.
func (im *importer) serverGroup(key serverGroupKey, promptTokens, answerTokens float64) ServerGroup {
	serving := &im.day.Serving
	kind, engine := im.day.Tiers[0].Kinds[key.kind], serving.Engines[key.kind]
	group := ServerGroup{
		Role:          map[string]Role{"read": Prefill, "write": Decode, "both": Mixed}[serving.Roles[key.kind]],
		Zone:          im.day.Zones[key.zone],
		Cell:          fmt.Sprint("c", key.cell),
		Slots:         max(kind.Slots, 1),
		QueueLength:   kind.QueueLength,
		MemoryTokens:  engine.MemoryTokens,
		PrefillRate:   engine.PrefillRate,
		TransferRate:  serving.TransferRate,
		TokenInterval: time.Duration(engine.StepMilliseconds * 1e6).Round(time.Microsecond),
	}
	group.TokenInterval = max(group.TokenInterval, time.Millisecond)
	group.RequestsPerSecond = engine.PrefillRate / max(promptTokens, 1)
	if group.Role != Prefill {
		group.RequestsPerSecond = float64(group.Slots) / max(answerTokens*group.TokenInterval.Seconds()*1.5, 0.01)
	}
	return group
}

// importDispatchers imports at most the given number of dispatchers, spread evenly over those of the day.
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
		im.importClass(&im.day.Classes[i], &im.day.Serving.Conversations[i])
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
		MaxTurns:           max(1, int(math.Round(2*conversation.Turns-1))),
		MinTurnTokens:      max(1, int(conversation.TurnTokens/2)),
		MaxTurnTokens:      int(1.5 * conversation.TurnTokens),
		PrefixTokens:       int(conversation.PrefixTokens),
		PrefixCount:        importedPrefixCount,
		MaxAnswerTokens:    max(1, int(min(1.33*conversation.AnswerTokens, float64(conversation.MaxAnswerTokens)))),
		MaxRetries:         im.day.Clients.Retries,
		MaxIdleTime:        time.Second,
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
		im.unsupportedf("class %s: effect %q is unknown, imported as idempotent", c.Name, c.Idempotency)
	}
	switch c.DedupScope {
	case "zone":
		class.DedupScope = config.DedupScope(policy.DedupScopeZone)
	case "cell":
		class.DedupScope = config.DedupScope(policy.DedupScopeCell)
	}
	im.script.Classes = append(im.script.Classes, class)
}

// importSessionRate sets the rate of sessions from the load of the day. It takes half of the prefill servers' rate as
// the capacity of the fleet, which approximates the effect of cached prefixes and of the decode servers.
func (im *importer) importSessionRate() {
	turns := 0.0
	for i, c := range im.day.Classes {
		turns += c.Share / im.shareSum * im.day.Serving.Conversations[i].Turns
	}
	im.script.SessionsPerSecond = math.Round(100*im.day.Traffic.Load*im.prefillRate/2/max(turns, 1)) / 100
}

// importFault adds a fault to the script, or records that it is not supported.
func (im *importer) importFault(f *benchFault) {
	start := fromMicroseconds(f.Start)
	imported, ok := importedFaults[f.Kind]
	if !ok {
		im.unsupportedf("fault %q at %v: kind is not supported", f.Kind, start)
		return
	}
	fault := Fault{Kind: imported.kind, Start: start, Duration: fromMicroseconds(f.Duration)}
	if imported.factor != nil {
		fault.Factor = math.Round(100*imported.factor(f.Factor)) / 100
	}
	switch fault.Kind {
	case FaultSilentClass:
		if f.Index < 0 || f.Index >= len(im.day.Classes) {
			im.unsupportedf("fault %q at %v: class index is %d, must be 0 to %d", f.Kind, start, f.Index, len(im.day.Classes)-1)
			return
		}
		fault.Class = im.day.Classes[f.Index].Name
	case FaultPartition:
		if f.Index < 0 || f.Index >= len(im.day.Zones) {
			im.unsupportedf("fault %q at %v: zone index is %d, must be 0 to %d", f.Kind, start, f.Index, len(im.day.Zones)-1)
			return
		}
		fault.Zone = im.day.Zones[f.Index]
	case FaultDispatcherRestart:
		im.importDispatcherFault(fault, f.Targets)
		return
	default: // the other kinds need no index
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

// hasNoServers reports whether the kind of fault does not name servers.
func (f Fault) hasNoServers() bool {
	return f.Kind == FaultBurst || f.Kind == FaultLongPrompts || f.Kind == FaultPartition
}

// permitsAllServers reports whether a fault without named servers affects all servers.
func (f Fault) permitsAllServers() bool {
	return f.Kind == FaultSlowLinks || f.Kind == FaultLateReports || f.Kind == FaultPauses
}

// importDispatcherFault adds the fault once for each dispatcher of the script that represents one of the targets.
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

// importTargets returns the numbers of the targets that are in the script. If the first is not, it is replaced by the
// server that represents it.
func (im *importer) importTargets(targets []int) []int {
	var numbers []int
	for _, i := range targets {
		number := im.representative[i]
		isInScript := im.numbers[i] > 0
		if number > 0 && !slices.Contains(numbers, number) && (isInScript || len(numbers) == 0) {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}
