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

// Scopes of an update of the endpoint list.
const (
	scopeUpdate      = "update"      // changes to the current list
	scopeReplace     = "replace"     // the whole list
	scopeRestored    = "restored"    // the whole list, as an instance saved it
	scopeUnavailable = "unavailable" // the list could not be obtained
)

// remarkStateMissing is the remark of a server that rejects an attempt because it no longer has the request's KV
// state.
const remarkStateMissing = 1

// noTenantValues are the values of a request's tenant field that do not name a tenant.
var noTenantValues = []string{absent, "0"}

// outcomes maps names on the wire to outcomes of attempts.
var outcomes = map[string]policy.Outcome{
	"Ok": policy.Served, "Failed": policy.Failed, "QueueFull": policy.Rejected,
	"TimedOut": policy.TimedOut, "ConnectError": policy.Unreachable, "ResetByPeer": policy.ConnectionLost,
	"Canceled": policy.Canceled, "Ignored": policy.NotSent, "handover": policy.Prefilled,
}

// healths maps names on the wire to the health of servers.
var healths = map[string]policy.Health{"IN": policy.Serving, "LAME": policy.Draining, "OUT": policy.Gone}

// handle decodes an event and calls the policy of its instance. Events of unknown instances are decoded and ignored.
func (a *adapter) handle(m *message) error {
	id := m.integer("dispatcher")
	if m.err != nil {
		return m.err
	}
	dispatcher := a.instances[id]
	if dispatcher != nil {
		a.touch(id, dispatcher)
	}
	switch m.name {
	case messageStart:
		return a.start(m, id)
	case messageStop:
		a.stop(id)
		return nil
	case messageServerList:
		return a.serverList(m, dispatcher)
	case messageRequest:
		return a.requestArrived(m, dispatcher)
	case messageStreamStarted:
		return a.streamStarted(m, dispatcher)
	case messageAttemptEnded:
		return a.attemptEnded(m, dispatcher)
	case messageRequestCanceled:
		return a.requestCanceled(m, dispatcher)
	case messageTimerFired:
		return a.timerFired(m, dispatcher)
	case messageHoldResult, messageHealth, messageMail: // replies to requests that the policy never makes
		return nil
	}
	return fmt.Errorf("unknown message %q", m.name)
}

// start creates an instance, which replaces the one with the same ID if there is one.
func (a *adapter) start(m *message, id int64) error {
	seed, err := strconv.ParseUint(string(m.field()), 10, 64)
	if err != nil {
		return fmt.Errorf("%s: entropy: %w", m.name, err)
	}
	config, err := platformconfig.New(seed, m.rest)
	if err != nil {
		return fmt.Errorf("%s: %w", m.name, err)
	}
	previous := a.instances[id]
	dispatcher := &instance{Config: config, touched: previous != nil}
	a.touch(id, dispatcher)
	a.instances[id] = dispatcher
	return nil
}

// stop removes an instance, of which no more decisions are written.
func (a *adapter) stop(id int64) {
	delete(a.instances, id)
	a.touched = slices.DeleteFunc(a.touched, func(other int64) bool { return other == id })
}

func (a *adapter) requestArrived(m *message, dispatcher *instance) error {
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
	if dispatcher == nil {
		return m.err
	}
	request.Class = policy.ClassID(m.indexOf("tier_class", dispatcher.ClassNames, m.rest)) // a class name may have spaces
	request.Tenant = -1
	if !slices.Contains(noTenantValues, string(tenant)) && len(dispatcher.Tenants) > 0 {
		request.Tenant = policy.TenantID(m.indexOf("project", dispatcher.Tenants, tenant))
	}
	if m.err == nil {
		dispatcher.call(func() { dispatcher.Policy.RequestArrived(a.now, request) })
	}
	return m.err
}

func (a *adapter) streamStarted(m *message, dispatcher *instance) error {
	request, attempt := m.integer("txn"), m.integer("shot")
	m.integer("host")
	elapsed := m.integer("elapsed_ns")
	if m.err == nil && dispatcher != nil {
		dispatcher.call(func() {
			dispatcher.Policy.StreamStarted(a.now, policy.RequestID(request), policy.AttemptNumber(attempt),
				policy.Nanos(elapsed))
		})
	}
	return m.err
}

func (a *adapter) attemptEnded(m *message, dispatcher *instance) error {
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
	if m.err == nil && dispatcher != nil {
		dispatcher.call(func() {
			dispatcher.Policy.AttemptEnded(a.now, policy.RequestID(request), policy.AttemptNumber(attempt), outcome,
				policy.Nanos(elapsed), complete, load)
		})
	}
	return m.err
}

func (a *adapter) requestCanceled(m *message, dispatcher *instance) error {
	request := m.integer("txn")
	if m.err == nil && dispatcher != nil {
		dispatcher.call(func() { dispatcher.Policy.RequestCanceled(a.now, policy.RequestID(request)) })
	}
	return m.err
}

func (a *adapter) timerFired(m *message, dispatcher *instance) error {
	m.integer("label")
	if m.err == nil && dispatcher != nil {
		dispatcher.call(func() { dispatcher.Policy.TimerFired(a.now) })
	}
	return m.err
}

// serverList handles an update of the endpoint list: its message and the lines of its servers.
func (a *adapter) serverList(m *message, dispatcher *instance) error {
	scope := string(m.field())
	m.optionalInteger("version")
	count := m.optionalInteger("lines")
	if m.err != nil {
		return m.err
	}
	switch scope {
	case scopeUpdate, scopeReplace, scopeRestored, scopeUnavailable:
	default:
		return fmt.Errorf("%s: invalid scope %q", m.name, scope)
	}
	if dispatcher != nil {
		dispatcher.call(func() {
			if scope == scopeUnavailable {
				dispatcher.Policy.ListUpdateFailed(a.now)
			} else {
				dispatcher.Policy.ListUpdateStarted(scope != scopeUpdate)
			}
		})
	}
	for ; count > 0; count-- {
		server, ok := a.nextMessage()
		if !ok {
			return fmt.Errorf("%s: %w", m.name, errListTruncated)
		}
		if err := serverListed(&server, dispatcher); err != nil {
			return err
		}
	}
	if dispatcher != nil && scope != scopeUnavailable {
		dispatcher.call(func() { dispatcher.Policy.ListUpdateEnded(a.now) })
	}
	return nil
}

var errListTruncated = errors.New("the input ended inside the list")

// serverListed handles the line of one server in an update of the endpoint list.
func serverListed(m *message, dispatcher *instance) error {
	if m.name != messageServer {
		return fmt.Errorf("%s: an entry must start with %s, not %q", messageServerList, messageServer, m.name)
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
	if dispatcher == nil {
		return m.err
	}
	zone, kind := m.indexOf("site", dispatcher.Zones, zoneName), m.indexOf("hw", dispatcher.Kinds, kindName)
	if m.err != nil {
		return m.err
	}
	dispatcher.call(func() {
		dispatcher.Policy.ServerListed(policy.ServerID(id), policy.ZoneID(zone), policy.KindID(kind), policy.CellID(cell),
			health, policy.Nanos(started))
	})
	return nil
}
