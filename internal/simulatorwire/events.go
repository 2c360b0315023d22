package simulatorwire

import (
	"errors"
	"fmt"
	"slices"
	"strconv"

	"docksail/internal/platformconfig"
	"docksail/policy"
)

// Names of the messages from the simulator.
const (
	messageSync            = "SYNC"
	messageEndOfBatch      = "EOB"
	messageStart           = "ENLIST"
	messageStop            = "POWER_OFF"
	messageServerList      = "FLEET"
	messageServer          = "ENTRY"
	messageRequest         = "JOB_IN"
	messageStreamStarted   = "ACCEPTED"
	messageAttemptEnded    = "VERDICT"
	messageRequestCanceled = "VANISHED"
	messageTimerFired      = "DEADLINE_HIT"
	messageHoldResult      = "HOLD_RESULT"
	messageHealth          = "HEALTH"
	messageMail            = "MAIL"
)

// Scopes of a list of servers.
const (
	scopeUpdate      = "update"      // changes of the list before
	scopeReplace     = "replace"     // the whole list
	scopeRestored    = "restored"    // the whole list, as an instance kept it
	scopeUnavailable = "unavailable" // the list could not be had
)

// remarkStateMissing is the remark of a server that rejected an attempt as it no longer has the request's KV state.
const remarkStateMissing = 1

// noTenant are the values of a request's tenant field that name none.
var noTenant = []string{absent, "0"}

var outcomes = map[string]policy.Outcome{
	"Ok": policy.Served, "Failed": policy.Failed, "QueueFull": policy.Rejected,
	"TimedOut": policy.TimedOut, "ConnectError": policy.Unreachable, "ResetByPeer": policy.ConnectionLost,
	"Canceled": policy.Canceled, "Ignored": policy.NotSent, "handover": policy.Prefilled,
}

var healths = map[string]policy.Health{"IN": policy.Serving, "LAME": policy.Draining, "OUT": policy.Gone}

// handle decodes an event and calls the policy of its instance. Events of instances that do not run are decoded and
// dropped.
func (a *adapter) handle(m *message) error {
	id := m.integer("dispatcher")
	if m.err != nil {
		return m.err
	}
	i := a.instances[id]
	if i != nil {
		a.touch(id, i)
	}
	switch m.name {
	case messageStart:
		return a.start(m, id)
	case messageStop:
		a.stop(id)
		return nil
	case messageServerList:
		return a.serverList(m, i)
	case messageRequest:
		return a.requestArrived(m, i)
	case messageStreamStarted:
		return a.streamStarted(m, i)
	case messageAttemptEnded:
		return a.attemptEnded(m, i)
	case messageRequestCanceled:
		return a.requestCanceled(m, i)
	case messageTimerFired:
		return a.timerFired(m, i)
	case messageHoldResult, messageHealth, messageMail: // answers to what the policy never asks for
		return nil
	}
	return fmt.Errorf("unknown message %q", m.name)
}

// start starts an instance, in place of the one with its ID.
func (a *adapter) start(m *message, id int64) error {
	seed, err := strconv.ParseUint(string(m.field()), 10, 64)
	if err != nil {
		return fmt.Errorf("%s: entropy: %w", m.name, err)
	}
	config, err := platformconfig.New(seed, m.rest)
	if err != nil {
		return fmt.Errorf("%s: %w", m.name, err)
	}
	replaced := a.instances[id]
	i := &instance{Config: config, touched: replaced != nil}
	a.touch(id, i)
	a.instances[id] = i
	return nil
}

func (a *adapter) stop(id int64) {
	delete(a.instances, id)
	a.touched = slices.DeleteFunc(a.touched, func(other int64) bool { return other == id })
}

func (a *adapter) requestArrived(m *message, i *instance) error {
	request := policy.Request{
		ID:              policy.RequestID(m.integer("txn")),
		MaxOutputTokens: m.optionalInteger("output_cap"),
		Prefix:          policy.PrefixKey(m.hexKey("template")),
	}
	tenant := m.field()
	request.Deadline = policy.Nanos(m.integer("client_deadline_ns"))
	m.flag("returned")
	request.Session = policy.SessionKey(m.hexKey("session"))
	request.IsRetry = m.flag("again_by_client")
	request.PrefixTokens = m.optionalInteger("n_prefix")
	request.ExpectedDuration = policy.Nanos(m.optionalInteger("weight_hint_ns"))
	request.PromptTokens = m.optionalInteger("n_prompt")
	if request.PromptTokens < 0 || request.PrefixTokens < 0 {
		m.invalid("n_prompt or n_prefix", []byte("below 0"))
	}
	if i == nil {
		return m.err
	}
	request.Class = policy.ClassID(m.indexOf("tier_class", i.ClassNames, m.rest)) // a class name may have spaces
	request.Tenant = -1
	if !slices.Contains(noTenant, string(tenant)) && len(i.Tenants) > 0 {
		request.Tenant = policy.TenantID(m.indexOf("project", i.Tenants, tenant))
	}
	if m.err == nil {
		i.call(func() { i.Policy.RequestArrived(a.now, request) })
	}
	return m.err
}

func (a *adapter) streamStarted(m *message, i *instance) error {
	request, attempt := m.integer("txn"), m.integer("shot")
	m.integer("host")
	elapsed := m.integer("elapsed_ns")
	if m.err == nil && i != nil {
		i.call(func() {
			i.Policy.StreamStarted(a.now, policy.RequestID(request), policy.AttemptNumber(attempt),
				policy.Nanos(elapsed))
		})
	}
	return m.err
}

func (a *adapter) attemptEnded(m *message, i *instance) error {
	request, attempt := m.integer("txn"), m.integer("shot")
	m.integer("host")
	outcomeName := m.field()
	outcome, ok := outcomes[string(outcomeName)]
	if !ok {
		m.invalid("rc", outcomeName)
	}
	elapsed, complete := m.integer("elapsed_ns"), m.flag("complete")
	remark, load := m.optionalInteger("remark"), m.loadReport()
	if outcome == policy.Rejected && remark == remarkStateMissing {
		outcome = policy.StateMissing
	}
	if m.err == nil && i != nil {
		i.call(func() {
			i.Policy.AttemptEnded(a.now, policy.RequestID(request), policy.AttemptNumber(attempt), outcome,
				policy.Nanos(elapsed), complete, load)
		})
	}
	return m.err
}

func (a *adapter) requestCanceled(m *message, i *instance) error {
	request := m.integer("txn")
	if m.err == nil && i != nil {
		i.call(func() { i.Policy.RequestCanceled(a.now, policy.RequestID(request)) })
	}
	return m.err
}

func (a *adapter) timerFired(m *message, i *instance) error {
	m.integer("label")
	if m.err == nil && i != nil {
		i.call(func() { i.Policy.TimerFired(a.now) })
	}
	return m.err
}

// serverList reads the message of a list and the lines of its servers.
func (a *adapter) serverList(m *message, i *instance) error {
	scope := string(m.field())
	m.optionalInteger("version")
	count := m.optionalInteger("lines")
	if m.err != nil {
		return m.err
	}
	switch scope {
	case scopeUpdate, scopeReplace, scopeRestored, scopeUnavailable:
	default:
		return fmt.Errorf("%s: scope cannot be %q", m.name, scope)
	}
	if i != nil {
		i.call(func() {
			if scope == scopeUnavailable {
				i.Policy.ListUpdateFailed(a.now)
			} else {
				i.Policy.ListUpdateStarted(scope != scopeUpdate)
			}
		})
	}
	for ; count > 0; count-- {
		server, ok := a.nextMessage()
		if !ok {
			return fmt.Errorf("%s: %w", m.name, errListEnds)
		}
		if err := serverListed(&server, i); err != nil {
			return err
		}
	}
	if i != nil && scope != scopeUnavailable {
		i.call(func() { i.Policy.ListUpdateEnded(a.now) })
	}
	return nil
}

var errListEnds = errors.New("the input ends inside the list")

// serverListed reads the line of one server in a list.
func serverListed(m *message, i *instance) error {
	if m.name != messageServer {
		return fmt.Errorf("%s: an entry starts with %s, not %q", messageServerList, messageServer, m.name)
	}
	id := m.integer("host")
	zoneName, kindName := m.field(), m.field()
	cell := m.optionalInteger("cluster")
	healthName := m.field()
	health, ok := healths[string(healthName)]
	if !ok {
		m.invalid("health", healthName)
	}
	m.optionalInteger("units")
	started := m.optionalInteger("launched_ns")
	if i == nil {
		return nil
	}
	zone, kind := m.indexOf("site", i.Zones, zoneName), m.indexOf("hw", i.Kinds, kindName)
	if m.err != nil {
		return m.err
	}
	i.call(func() {
		i.Policy.ServerListed(policy.ServerID(id), policy.ZoneID(zone), policy.KindID(kind), policy.CellID(cell),
			health, policy.Nanos(started))
	})
	return nil
}
