package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"docksail/policy"
)

const (
	minAttempts    = 2       // one for prefill, one for decode
	maxLimit       = 1 << 30 // maximum of every field of Limits but MaxMemoryBytes
	minBufferBytes = 1 << 10
	minOutputBytes = 64 << 10
)

// reportFunc records that the value at a path is invalid. format and args describe the value and what is permitted.
type reportFunc func(path, format string, args ...any)

// requirePositive reports a value that is not greater than 0.
func requirePositive[T int | int64 | float64 | time.Duration](report reportFunc, path string, value T) {
	switch {
	case value == 0:
		report(path, "is 0, must be greater than 0")
	case value < 0:
		report(path, "is %v, must be greater than 0", value)
	}
}

// requireUniqueName reports a name that is empty or already in names, and adds it to names.
func (report reportFunc) requireUniqueName(path, name string, names map[string]bool) {
	if name == "" || names[name] {
		report(path, "%q is empty or a duplicate, must be unique", name)
	}
	names[name] = true
}

// check reports all values that have the right type but are not valid.
func (d *Dispatcher) check(report reportFunc) {
	d.checkIdentity(report)
	d.Discovery.check(report)
	d.checkClasses(report)
	tenantNames := d.checkTenants(report)
	d.SlowStart.check(report)
	d.checkAttempts(report)
	if d.Batch.Listen.IsValid() {
		d.Batch.check(report, tenantNames)
	}
	d.Limits.check(report)
}

func (d *Dispatcher) checkIdentity(report reportFunc) {
	switch {
	case d.Count < 1:
		report("count", "is %d, must be at least 1", d.Count)
	case d.Index < 0 || d.Index >= d.Count:
		report("number", "is %d, must be 0 to %d", d.Index, d.Count-1)
	}
}

func (d *Discovery) check(report reportFunc) {
	if d.Watch.IsValid() == (d.File != "") {
		report("fleet", "must have either watch or file")
	}
	requirePositive(report, "fleet.ask_within", d.MaxListInterval)
}

func (d *Dispatcher) checkClasses(report reportFunc) {
	if len(d.Classes) == 0 {
		report("classes", "is empty, must have at least one class")
	}
	names := map[string]bool{}
	for i, class := range d.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		report.requireUniqueName(path+".name", class.Name, names)
		requirePositive(report, path+".target", class.LatencyTarget)
		requirePositive(report, path+".token_gap", class.InterTokenTarget)
		if class.Timeout < class.LatencyTarget {
			report(path+".timeout", "is %v, must be at least the target, %v", class.Timeout, class.LatencyTarget)
		}
		if policy.Idempotency(class.Idempotency) == policy.Deduplicated {
			requirePositive(report, path+".window", class.DedupWindow)
		}
	}
}

// checkTenants checks the tenants and returns their names.
func (d *Dispatcher) checkTenants(report reportFunc) map[string]bool {
	names := map[string]bool{}
	for i, tenant := range d.Tenants {
		path := fmt.Sprintf("tenants[%d]", i)
		report.requireUniqueName(path+".name", tenant.Name, names)
		requirePositive(report, path+".requests_per_second", tenant.RequestsPerSecond)
		if tenant.Weight < 0 || tenant.MaxRequestsPerSecond < 0 || tenant.MaxWaiting < 0 || tenant.MaxRunning < 0 ||
			tenant.MaxPromptTokens < 0 {
			report(path, "has a weight or limit below 0, must be at least 0 (0 = default)")
		}
	}
	return names
}

func (s *SlowStart) check(report reportFunc) {
	if s.InitialCapacity <= 0 || s.InitialCapacity > 1 {
		report("cold_start.from", "is %v, must be greater than 0 and at most 1", s.InitialCapacity)
	}
	if s.OverloadFactor < 1 {
		report("cold_start.overload_factor", "is %v, must be at least 1", s.OverloadFactor)
	}
	requirePositive(report, "cold_start.warm_after", s.WarmupTime)
	requirePositive(report, "cold_start.overload_window", s.OverloadWindow)
}

// checkAttempts checks the limits and times of attempts, releases, answers and the drain.
func (d *Dispatcher) checkAttempts(report reportFunc) {
	if d.Attempts.MaxAttempts < minAttempts {
		report("attempts.most", "is %d, must be at least %d: one for prefill, one for decode",
			d.Attempts.MaxAttempts, minAttempts)
	}
	requirePositive(report, "attempts.connect_within", d.Attempts.ConnectTimeout)
	requirePositive(report, "rules.release_within", d.Rules.ReleaseTime)
	requirePositive(report, "answers.round", d.Responses.RoundInterval)
	if d.Responses.AnswerLeadTime < 0 {
		report("answers.ahead", "is %v, must be at least 0", d.Responses.AnswerLeadTime)
	}
	requirePositive(report, "drain_within", d.DrainTimeout)
}

func (b *Batch) check(report reportFunc, tenantNames map[string]bool) {
	if b.Directory == "" {
		report("batch.dir", "is empty, must be the directory for files and results")
	}
	if b.QuotaBytes < 0 || b.FileRetention < 0 {
		report("batch", "quota_bytes or keep_files is below 0, must be at least 0 (0 = unlimited)")
	}
	requirePositive(report, "batch.file_bytes", b.MaxFileBytes)
	requirePositive(report, "batch.line_bytes", b.MaxLineBytes)
	requirePositive(report, "batch.lines", b.MaxLines)
	requirePositive(report, "batch.lines_out", b.MaxLinesInFlight)
	requirePositive(report, "batch.again_after", b.InitialBackoff)
	requirePositive(report, "batch.longest_window", b.MaxCompletionWindow)
	for i, key := range b.Keys {
		path := fmt.Sprintf("batch.keys[%d]", i)
		if hash, err := hex.DecodeString(key.Hash); err != nil || len(hash) != sha256.Size {
			report(path+".sha256", "is not a SHA-256 hash in hexadecimal, must have 64 digits")
		}
		if (key.Tenant != "" || len(tenantNames) > 0) && !tenantNames[key.Tenant] {
			report(path+".tenant", "%q is not the name of a tenant", key.Tenant)
		}
	}
}

func (l *Limits) check(report reportFunc) {
	if l.MaxMemoryBytes < 0 {
		report("limits.memory_bytes", "is %d, must be at least 0", l.MaxMemoryBytes)
	}
	for _, limit := range []struct {
		name  string
		value int
		min   int
	}{
		{"requests", l.MaxRequests, 1},
		{"connections", l.MaxConnections, 1},
		{"streams", l.MaxStreams, 1},
		{"stream_window", l.StreamWindowBytes, minBufferBytes},
		{"message_bytes", l.MaxMessageBytes, minBufferBytes},
		{"header_bytes", l.MaxHeaderBytes, minBufferBytes},
		{"prompt_tokens", l.MaxPromptTokens, 1},
		{"requests_waiting", l.MaxWaiting, 1},
		{"partial_bytes", l.MaxPartialBytes, l.MaxMessageBytes},
		{"clients_known", l.MaxKnownClients, 1},
		{"output_bytes", l.MaxOutputBytes, minOutputBytes},
	} {
		if limit.value < limit.min || limit.value > maxLimit {
			report("limits."+limit.name, "is %d, must be %d to %d", limit.value, limit.min, maxLimit)
		}
	}
}
