// Package policy decides, for one dispatcher, where each job is read and where it is answered.
// This file is its interface: ids, what the host tells it and what it answers.
package policy

// Nanos is a time on the host's clock, or a span of it, in whole nanoseconds.
type Nanos int64

// Never is later than every time on the clock.
const Never = Nanos(1 << 62)

type (
	JobID      uint64 // a job, as the host names it
	HostID     uint32 // a model host, as the list names it
	SessionKey uint64 // a conversation; 0 = none
	PrefixKey  uint64 // a beginning shared with other sessions; 0 = none
	TrackID    int32  // an index into the tracks given at start
	TenantID   int32  // an index into the tenants given at start; -1 = none
	ZoneID     int32  // an index into the zones of the settings
	KindID     int32  // an index into the kinds of host given at start
	CellID     int64  // hosts on one link, within a zone
	Shot       int32  // the number of a launch within its job, from 0
)

// Role is what a kind of model host can do.
type Role uint8

const (
	Reader Role = iota
	Writer
	Mixed
	roleCount
)

// Effect says what a repeated run of a job would do.
type Effect uint8

const (
	Redoable     Effect = iota // may run any number of times
	Labelled                   // repeats are known and dropped within a group of hosts, for a time
	Irreversible               // must never run twice
)

// Group is the set of hosts that knows a labelled job's repeats.
type Group uint8

const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Health is what the list says of a host's process.
type Health uint8

const (
	Serving Health = iota
	Draining
	Gone
)

// Outcome is how a launch ended.
type Outcome uint8

const (
	Honoured    Outcome = iota // answered to the end
	Read                       // the prompt is read, its state waits at the reader
	Turned                     // turned away: full, draining
	Stateless                  // turned away: there was no state to fetch
	Unreachable                // no connection; it never ran
	NotSent                    // never left the dispatcher
	Failed                     // the host returned an error
	Late                       // its time ran out
	Broken                     // the connection broke
	Recalled                   // withdrawn
	Lapsed                     // lost with a connection kept from before, dead by then: it may have run
)

// Track is one class of jobs.
type Track struct {
	Expected      Nanos // first token wanted within this time of arrival ...
	ExpectedPer1k Nanos // ... and so much more for each 1,000 prompt tokens
	Patience      Nanos // the client's whole patience, all its tries together
	Payoff        float64
	LatePayoff    float64 // share paid after the expected time
	TokenGap      Nanos   // wanted between tokens
	Effect        Effect
	Group         Group
	Window        Nanos // for this long the group remembers a labelled job
}

// Tenant is one payer and what it is entitled to, over all dispatchers.
type Tenant struct{ PerSecond float64 }

// Place tells a dispatcher which one it is.
type Place struct {
	Number, Count int32
	Zone          ZoneID
}

// ColdStart describes hosts that have just started, and what topples them.
type ColdStart struct {
	From     float64 // share of its capacity with which a host starts, at least
	Warm     Nanos   // warm after this time
	Multiple float64 // sent this multiple of what it can do ...
	Window   Nanos   // ... over this long, it falls over
}

// Launching bounds what may be sent.
type Launching struct {
	Most       int32 // launches for one job
	Recall     bool
	ReadAtPens bool // writers read a prompt themselves when no state waits
}

// Answering bounds final answers.
type Answering struct {
	Slack     Nanos // still accepted so long after the client's deadline
	Round     Nanos // time between two rounds of events
	Advice    bool  // clients are told when to come back
	MaxAdvice Nanos
}

// Listing says how the list of hosts is come by.
type Listing struct {
	Asked  bool  // only on request
	Within Nanos // to be asked for at least so often
}

// Job is what the client tells of a job.
type Job struct {
	ID       JobID
	Track    TrackID
	Tenant   TenantID
	Session  SessionKey
	Prefix   PrefixKey
	Prompt   int64 // tokens of the prompt
	Shared   int64 // how many of them are the shared beginning
	Cap      int64 // most tokens in the answer
	Deadline Nanos // the client gives this try up then
	Hint     Nanos // rough length of the answer; 0 = none
	Repeat   bool
}

// Load is a host's own report; a negative value was not reported.
type Load struct {
	Requests float64 // held now
	Memory   float64 // share held
	Unread   float64 // prompt tokens waiting to be read or fetched
}

// NoLoad is the report of a host that reports nothing.
var NoLoad = Load{-1, -1, -1}

// Verb names what a decision asks of the host program.
type Verb uint8

const (
	Launch  Verb = iota + 1 // send Job to Host, for at most For
	Recall                  // withdraw launch Shot of Job
	Nack                    // final: refused, may come back after For
	Abandon                 // final: failed
	LetGo                   // let go of what is held for Job
	Wake                    // call Woken after For
	Watch                   // subscribe to the list
	Say                     // write Text to the log
)

// Decision is one thing to be done now.
type Decision struct {
	Verb Verb
	Job  JobID
	Host HostID
	Shot Shot
	For  Nanos
	Kept int64 // of a launch that reads: prompt tokens expected to be kept there

	// Before is until when a launch may begin to be written; 0 = that does not matter.
	Before Nanos
	Text   string
}
