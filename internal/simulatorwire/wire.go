// Package simulatorwire hosts dispatchers on the simulator's wire: it decodes lines into calls of the decision module
// and encodes what the module decides. It decides nothing.
package simulatorwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"

	"docksail/internal/platformconfig"
	"docksail/policy"
)

const longestLine = 64 << 20 // batches run to megabytes, a line never near this

// instance is one dispatcher and the names it was given, by their numbers.
type instance struct {
	*platformconfig.Config
	d       *policy.Router
	touched bool
	failed  string
}

// host runs all instances of this process.
type host struct {
	in        *bufio.Scanner
	out       *bufio.Writer
	line      int
	now       policy.Nanos
	instances map[int64]*instance
	touched   []int64
	rest      []byte // what is left of the line in hand
}

func newHost(r io.Reader, w io.Writer) *host {
	h := &host{in: bufio.NewScanner(r), out: bufio.NewWriterSize(w, 1<<16), instances: make(map[int64]*instance)}
	h.in.Buffer(make([]byte, 1<<16), longestLine)
	return h
}

// Serve answers batches until the input ends.
func Serve(r io.Reader, w io.Writer) error {
	h := newHost(r, w)
	for {
		more, err := h.batch()
		if err != nil {
			return fmt.Errorf("line %d: %w", h.line, err)
		}
		if !more {
			return nil
		}
	}
}

func (h *host) next() bool {
	if !h.in.Scan() {
		return false
	}
	h.line++
	h.rest = h.in.Bytes()
	return true
}

// batch reads one batch and answers it; false at the end of the input.
func (h *host) batch() (bool, error) {
	if !h.next() {
		return false, h.in.Err()
	}
	if name := h.word(); string(name) != "SYNC" {
		return false, fmt.Errorf("a batch starts with SYNC, not %q", name)
	}
	f := fields{h: h, name: "SYNC"}
	h.now = policy.Nanos(f.whole("clock"))
	if f.err != nil {
		return false, f.err
	}
	h.touched = h.touched[:0]
	for {
		if !h.next() {
			if err := h.in.Err(); err != nil {
				return false, err
			}
			return false, errors.New("the input ends inside a batch, before EOB")
		}
		name := h.word()
		if string(name) == "EOB" {
			break
		}
		if err := h.event(name); err != nil {
			return false, err
		}
	}
	for _, n := range h.touched {
		if in := h.instances[n]; in != nil {
			in.touched = false
			h.pull(n, in)
		}
	}
	h.out.WriteString("EOR\n")
	return true, h.out.Flush()
}

// guarded runs a call of the module; a panic in it is kept as the instance's failure.
func (in *instance) guarded(call func()) {
	defer func() {
		if r := recover(); r != nil {
			in.failed = fmt.Sprint(r)
		}
	}()
	if in.failed == "" {
		call()
	}
}

func (h *host) pull(n int64, in *instance) {
	in.guarded(func() {
		for {
			what, ok := in.d.NextDecision(h.now)
			if !ok {
				return
			}
			h.encode(n, what)
		}
	})
	if in.failed != "" {
		fmt.Fprintf(h.out, "INTERNAL_ERROR %d %s\n", n, bytes.ReplaceAll([]byte(in.failed), []byte("\n"), []byte(" ")))
	}
}

func (h *host) encode(n int64, what policy.Decision) {
	switch what.Action {
	case policy.SendAttempt:
		h.write("ATTEMPT", n, int64(what.Request), int64(what.Server), int64(what.Duration))
	case policy.CancelAttempt:
		h.write("RECALL", n, int64(what.Request), int64(what.Attempt))
	case policy.RejectRequest:
		h.write("BUSY", n, int64(what.Request), int64(what.Duration))
	case policy.FailRequest:
		h.write("ABORT", n, int64(what.Request))
	case policy.ReleaseState:
		h.write("CLEAR_STATE", n, int64(what.Request))
	case policy.SetTimer:
		h.write("NOTIFY_ME", n, int64(what.Duration), 0)
	case policy.WatchEndpoints:
		h.write("OBSERVE", n, 1)
	case policy.LogEjection:
		h.out.WriteString("EMIT ")
		h.out.WriteString(strconv.FormatInt(n, 10))
		h.out.WriteByte(' ')
		h.out.WriteString(what.Ejection.String())
		h.out.WriteByte('\n')
	default:
		panic(fmt.Sprintf("decision with unknown verb %d", what.Action))
	}
}

func (h *host) write(name string, values ...int64) {
	h.out.WriteString(name)
	for _, v := range values {
		h.out.WriteByte(' ')
		h.out.Write(strconv.AppendInt(h.out.AvailableBuffer(), v, 10))
	}
	h.out.WriteByte('\n')
}

func (h *host) word() []byte {
	word, rest, found := bytes.Cut(h.rest, []byte{' '})
	h.rest = rest
	if !found {
		h.rest = nil
	}
	return word
}

// fields reads the values of a line in order and keeps the first error.
type fields struct {
	h    *host
	name string
	err  error
}

func (f *fields) bad(what string, v []byte) {
	if f.err == nil {
		if len(v) == 0 {
			f.err = fmt.Errorf("%s: %s is missing", f.name, what)
		} else {
			f.err = fmt.Errorf("%s: %s cannot be %q", f.name, what, v)
		}
	}
}

func (f *fields) whole(what string) int64 {
	v := f.h.word()
	n, err := strconv.ParseInt(string(v), 10, 64)
	if err != nil {
		f.bad(what, v)
	}
	return n
}

// maybe reads a number that may be absent.
func (f *fields) maybe(what string) int64 {
	v := f.h.word()
	if string(v) == "-" {
		return 0
	}
	x, err := strconv.ParseInt(string(v), 10, 64)
	if err == nil {
		return x
	}
	y, err := strconv.ParseFloat(string(v), 64)
	if err != nil || y != y || y > 1e18 || y < -1e18 {
		f.bad(what, v)
		return 0
	}
	return int64(y)
}

func (f *fields) flag(what string) bool {
	v := f.h.word()
	if s := string(v); s != "0" && s != "1" && s != "-" {
		f.bad(what, v)
	}
	return string(v) == "1"
}

func (f *fields) hex(what string) uint64 {
	v := f.h.word()
	if string(v) == "-" {
		return 0
	}
	n, err := strconv.ParseUint(string(v), 16, 64)
	if err != nil {
		f.bad(what, v)
	}
	return n
}

// named interns a name by its place among the known ones.
func (f *fields) named(what string, known []string, v []byte) int32 {
	i := slices.IndexFunc(known, func(k string) bool { return k == string(v) })
	if i < 0 {
		f.bad(what, v)
	}
	return int32(i)
}

var outcomes = map[string]policy.Outcome{
	"Ok": policy.Served, "Failed": policy.Failed, "QueueFull": policy.Rejected,
	"TimedOut": policy.TimedOut, "ConnectError": policy.Unreachable, "ResetByPeer": policy.ConnectionLost,
	"Canceled": policy.Canceled, "Ignored": policy.NotSent, "handover": policy.Prefilled,
}

var healths = map[string]policy.Health{"IN": policy.Serving, "LAME": policy.Draining, "OUT": policy.Gone}

func (f *fields) load() policy.LoadReport {
	load := policy.NoLoadReport
	v := f.h.word()
	if len(v) == 0 || string(v) == "-" {
		return load
	}
	for len(v) > 0 {
		var pair []byte
		pair, v, _ = bytes.Cut(v, []byte{','})
		key, text, ok := bytes.Cut(pair, []byte{':'})
		x, err := strconv.ParseFloat(string(text), 64)
		if !ok || err != nil || x != x {
			f.bad("gauge", pair)
			return load
		}
		platformconfig.SetLoadReportField(&load, string(key), x)
	}
	return load
}

// event decodes one event into a call of its instance.
func (h *host) event(name []byte) error {
	f := fields{h: h, name: string(name)}
	n := f.whole("dispatcher")
	if f.err != nil {
		return f.err
	}
	in := h.instances[n]
	if in != nil && !in.touched {
		in.touched = true
		h.touched = append(h.touched, n)
	}
	switch f.name {
	case "ENLIST":
		seed, err := strconv.ParseUint(string(h.word()), 10, 64)
		if err != nil {
			return fmt.Errorf("ENLIST: entropy: %w", err)
		}
		m, err := platformconfig.New(seed, h.rest)
		if err != nil {
			return fmt.Errorf("ENLIST: %w", err)
		}
		fresh := &instance{Config: m, d: m.Policy, touched: true}
		if in == nil {
			h.touched = append(h.touched, n)
		}
		h.instances[n] = fresh
		return nil
	case "POWER_OFF":
		delete(h.instances, n)
		h.touched = slices.DeleteFunc(h.touched, func(m int64) bool { return m == n })
		return nil
	case "FLEET":
		return h.fleet(&f, in)
	case "JOB_IN":
		return h.jobIn(&f, in)
	case "ACCEPTED":
		id, shot, _, elapsed := f.whole("txn"), f.whole("shot"), f.whole("host"), f.whole("elapsed_ns")
		if f.err == nil && in != nil {
			in.guarded(func() {
				in.d.StreamStarted(h.now, policy.RequestID(id), policy.AttemptNumber(shot), policy.Nanos(elapsed))
			})
		}
	case "VERDICT":
		id, shot, _ := f.whole("txn"), f.whole("shot"), f.whole("host")
		rc := h.word()
		how, ok := outcomes[string(rc)]
		if !ok {
			f.bad("rc", rc)
		}
		elapsed, over, remark, load := f.whole("elapsed_ns"), f.flag("complete"), f.maybe("remark"), f.load()
		if how == policy.Rejected && remark == 1 {
			how = policy.StateMissing
		}
		if f.err == nil && in != nil {
			in.guarded(func() {
				in.d.AttemptEnded(h.now, policy.RequestID(id), policy.AttemptNumber(shot), how, policy.Nanos(elapsed), over, load)
			})
		}
	case "VANISHED":
		id := f.whole("txn")
		if f.err == nil && in != nil {
			in.guarded(func() { in.d.RequestCanceled(h.now, policy.RequestID(id)) })
		}
	case "DEADLINE_HIT":
		f.whole("label")
		if f.err == nil && in != nil {
			in.guarded(func() { in.d.TimerFired(h.now) })
		}
	case "HOLD_RESULT", "HEALTH", "MAIL": // answers to what the module never asks for
	default:
		return fmt.Errorf("unknown message %q", name)
	}
	return f.err
}

func (h *host) jobIn(f *fields, in *instance) error {
	job := policy.Request{
		ID: policy.RequestID(f.whole("txn")), MaxOutputTokens: f.maybe("output_cap"),
		Prefix: policy.PrefixKey(f.hex("template")),
	}
	project := h.word()
	job.Deadline = policy.Nanos(f.whole("client_deadline_ns"))
	f.flag("returned")
	job.Session, job.IsRetry = policy.SessionKey(f.hex("session")), f.flag("again_by_client")
	job.PrefixTokens, job.ExpectedDuration = f.maybe("n_prefix"), policy.Nanos(f.maybe("weight_hint_ns"))
	job.PromptTokens = f.maybe("n_prompt")
	if job.PromptTokens < 0 || job.PrefixTokens < 0 {
		f.bad("n_prompt or n_prefix", []byte("below 0"))
	}
	if in == nil {
		return f.err
	}
	job.Class = policy.ClassID(f.named("tier_class", in.ClassNames, h.rest))
	job.Tenant = -1
	if s := string(project); s != "-" && s != "0" && len(in.Tenants) > 0 {
		job.Tenant = policy.TenantID(f.named("project", in.Tenants, project))
	}
	if f.err == nil {
		in.guarded(func() { in.d.RequestArrived(h.now, job) })
	}
	return f.err
}

func (h *host) fleet(f *fields, in *instance) error {
	scope := string(h.word())
	f.maybe("version")
	count := f.maybe("lines")
	switch {
	case f.err != nil:
		return f.err
	case scope != "update" && scope != "replace" && scope != "restored" && scope != "unavailable":
		return fmt.Errorf("FLEET: scope cannot be %q", scope)
	}
	if in != nil {
		in.guarded(func() {
			if scope == "unavailable" {
				in.d.ListUpdateFailed(h.now)
			} else {
				in.d.ListUpdateStarted(scope != "update")
			}
		})
	}
	for ; count > 0; count-- {
		if !h.next() {
			return errors.New("FLEET: the input ends inside the list")
		}
		if name := h.word(); string(name) != "ENTRY" {
			return fmt.Errorf("FLEET: an entry starts with ENTRY, not %q", name)
		}
		e := fields{h: h, name: "ENTRY"}
		id := e.whole("host")
		site, hw := h.word(), h.word()
		cell := e.maybe("cluster")
		text := h.word()
		health, ok := healths[string(text)]
		if !ok {
			e.bad("health", text)
		}
		e.maybe("units")
		launched := e.maybe("launched_ns")
		if in == nil {
			continue
		}
		zone, kind := e.named("site", in.Zones, site), e.named("hw", in.Kinds, hw)
		if e.err != nil {
			return e.err
		}
		in.guarded(func() {
			in.d.ServerListed(policy.ServerID(id), policy.ZoneID(zone), policy.KindID(kind), policy.CellID(cell),
				health, policy.Nanos(launched))
		})
	}
	if in != nil && scope != "unavailable" {
		in.guarded(func() { in.d.ListUpdateEnded(h.now) })
	}
	return nil
}
