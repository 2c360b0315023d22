package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"docksail/policy"
)

const (
	minAttempts    = 2       // one for prefill, one for decode
	maxLimit       = 1 << 30 // of every field of Limits that is checked for a range
	minBufferBytes = 1 << 10
	minOutputBytes = 64 << 10
)

// A reporter records that the value at a path is invalid; format and args say what it is and what was expected.
type reporter func(path, format string, args ...any)

// positive reports a value that is not above 0.
func (report reporter) positive(path string, value float64) {
	if value <= 0 {
		report(path, "is %v, want more than 0", value)
	}
}

// uniqueName reports a name that is empty or in names, and adds it to names.
func (report reporter) uniqueName(path, name string, names map[string]bool) {
	if name == "" || names[name] {
		report(path, "%q is empty or stands twice, want a name of its own", name)
	}
	names[name] = true
}

// check reports values that have the right type and cannot be used.
func (d *Dispatcher) check(report reporter) {
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

func (d *Dispatcher) checkIdentity(report reporter) {
	switch {
	case d.Count < 1:
		report("count", "is %d, want 1 or more", d.Count)
	case d.Index < 0 || d.Index >= d.Count:
		report("number", "is %d, want 0 to %d", d.Index, d.Count-1)
	}
}

func (d *Discovery) check(report reporter) {
	if d.Watch.IsValid() == (d.File != "") {
		report("fleet", "want either watch or file")
	}
	report.positive("fleet.ask_within", float64(d.RetryInterval))
}

func (d *Dispatcher) checkClasses(report reporter) {
	if len(d.Classes) == 0 {
		report("classes", "is empty, want one class or more")
	}
	names := map[string]bool{}
	for i, class := range d.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		report.uniqueName(path+".name", class.Name, names)
		report.positive(path+".target", float64(class.LatencyTarget))
		report.positive(path+".token_gap", float64(class.InterTokenTarget))
		if class.Timeout < class.LatencyTarget {
			report(path+".timeout", "is %v, want at least the target, %v", class.Timeout, class.LatencyTarget)
		}
		if policy.Idempotency(class.Idempotency) == policy.Deduplicated {
			report.positive(path+".window", float64(class.DedupWindow))
		}
	}
}

// checkTenants returns the names of all tenants.
func (d *Dispatcher) checkTenants(report reporter) map[string]bool {
	names := map[string]bool{}
	for i, tenant := range d.Tenants {
		path := fmt.Sprintf("tenants[%d]", i)
		report.uniqueName(path+".name", tenant.Name, names)
		report.positive(path+".requests_per_second", tenant.RequestsPerSecond)
		if tenant.Weight < 0 || tenant.MaxRequestsPerSecond < 0 || tenant.MaxWaiting < 0 || tenant.MaxRunning < 0 ||
			tenant.MaxPromptTokens < 0 {
			report(path, "has a weight or limit below 0, want 0 for the default or more")
		}
	}
	return names
}

func (s *SlowStart) check(report reporter) {
	if s.InitialCapacity <= 0 || s.InitialCapacity > 1 {
		report("cold_start.from", "is %v, want more than 0 and at most 1", s.InitialCapacity)
	}
	if s.OverloadFactor < 1 {
		report("cold_start.overload_factor", "is %v, want 1 or more", s.OverloadFactor)
	}
	report.positive("cold_start.warm_after", float64(s.WarmupTime))
	report.positive("cold_start.overload_window", float64(s.OverloadWindow))
}

// checkAttempts checks what bounds attempts, releases, answers and the drain.
func (d *Dispatcher) checkAttempts(report reporter) {
	if d.Attempts.MaxAttempts < minAttempts {
		report("attempts.most", "is %d, want %d or more: one for prefill, one for decode",
			d.Attempts.MaxAttempts, minAttempts)
	}
	report.positive("attempts.connect_within", float64(d.Attempts.ConnectTimeout))
	report.positive("rules.release_within", float64(d.Rules.ReleaseTime))
	report.positive("answers.round", float64(d.Responses.RoundInterval))
	if d.Responses.DeadlineMargin < 0 {
		report("answers.ahead", "is %v, want 0 or more", d.Responses.DeadlineMargin)
	}
	report.positive("drain_within", float64(d.DrainTimeout))
}

func (b *Batch) check(report reporter, tenantNames map[string]bool) {
	if b.Directory == "" {
		report("batch.dir", "is empty, want a directory for files and results")
	}
	if b.QuotaBytes < 0 || b.FileRetention < 0 {
		report("batch", "quota_bytes or keep_files is below 0, want 0 for no bound or more")
	}
	report.positive("batch.file_bytes", float64(b.MaxFileBytes))
	report.positive("batch.line_bytes", float64(b.MaxLineBytes))
	report.positive("batch.lines", float64(b.MaxLines))
	report.positive("batch.lines_out", float64(b.MaxLinesInFlight))
	report.positive("batch.again_after", float64(b.InitialBackoff))
	report.positive("batch.longest_window", float64(b.MaxCompletionWindow))
	for i, key := range b.Keys {
		path := fmt.Sprintf("batch.keys[%d]", i)
		if hash, err := hex.DecodeString(key.Hash); err != nil || len(hash) != sha256.Size {
			report(path+".sha256", "is no SHA-256 in hex, want 64 digits")
		}
		if (key.Tenant != "" || len(tenantNames) > 0) && !tenantNames[key.Tenant] {
			report(path+".tenant", "%q, want one of the tenants", key.Tenant)
		}
	}
}

func (l *Limits) check(report reporter) {
	if l.MaxMemoryBytes < 0 {
		report("limits.memory_bytes", "is %d, want 0 or more", l.MaxMemoryBytes)
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
		{"clients_known", l.MaxClients, 1},
		{"output_bytes", l.MaxOutputBytes, minOutputBytes},
	} {
		if limit.value < limit.min || limit.value > maxLimit {
			report("limits."+limit.name, "is %d, want %d to %d", limit.value, limit.min, maxLimit)
		}
	}
}
