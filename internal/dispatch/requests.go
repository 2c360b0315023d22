package dispatch

import (
	"docksail/internal/decide/door"
	"docksail/internal/decide/gate"
	"docksail/internal/front"
	"docksail/internal/loop"
	"docksail/internal/state/jobs"
	"docksail/policy"
	"fmt"
	"slices"
	"strconv"
)

// What clients do, and the answers that they get.

// Job is one job in hand.
type Job struct {
	jobs.Account
	call    front.Call // nil once it is answered
	Raw     []byte     // the client's message
	Named   []byte     // the client's name for it
	Target  []byte     // where the client sent it
	Fields  []byte     // header fields that go with it, as lines
	track   policy.ClassID
	Repeat  uint32
	Trace   string
	arrived loop.Nanos
	ends    loop.Nanos     // the call's own time is up; 0 = never
	begun   loop.Nanos     // the answer's first token came; 0 = not yet
	last    loop.Nanos     // its last token
	waits   int            // bytes of the engine's window that wait for the client
	given   policy.Request // as the module is told of it
	ask     door.Job       // as the door is
	atDoor  bool
	let     bool  // the door has let it in, and not been told of its end
	tokens  int64 // messages relayed
	ran     bool  // a launch was sent to a host that answers

	sent      Sent            // the launch that is out; nil = it is none of the exit's
	Host      policy.ServerID // where it goes
	Reads     bool            // it is a read
	Sent      loop.Nanos
	Within    int64      // its time
	Before    loop.Nanos // it may begin to be written until then
	ReadAt    loop.Nanos // its last read ended
	Kept      int64      // prompt tokens that the module expects to be kept where it is read
	rpc       sending    // how the gRPC exit holds it
	timer     loop.Timer
	onTimer   func(loop.Nanos)
	overdue   loop.Timer // set while the job is owed its first answer
	onOverdue func(loop.Nanos)
	d         *Dispatcher
}

// key hashes a name under the settings' key and its owner, the same at every dispatcher; 0 stands for no name.
func (d *Dispatcher) key(kind byte, owner policy.TenantID, name []byte) uint64 {
	if len(name) == 0 {
		return 0
	}
	d.hash.ResetWithSeed(d.hashKey)
	d.hash.Write([]byte{kind, byte(owner), byte(owner >> 8), byte(owner >> 16), byte(owner >> 24)})
	d.hash.Write(name)
	return max(d.hash.Sum64(), 1)
}

// name is a job's for the outside: the dispatcher's life and the job, unique over dispatchers and restarts.
func (d *Dispatcher) name(id policy.RequestID) string {
	var b [33]byte
	return string(strconv.AppendUint(append(strconv.AppendUint(b[:0], d.life, 16), '.'), uint64(id), 16))
}

// Name implements the door's core.
func (d *Dispatcher) Name(id policy.RequestID) string { return d.name(id) }

// secretly hashes a name that strangers choose, under a key of this life's own; 0 stands for no name.
func (d *Dispatcher) secretly(owner policy.TenantID, name []byte) uint64 {
	if len(name) == 0 {
		return 0
	}
	d.hash.ResetWithSeed(d.secret ^ uint64(owner)*0x9e3779b97f4a7c15)
	d.hash.Write(name)
	return max(d.hash.Sum64(), 1)
}

// Arrive takes a job from the door.
func (d *Dispatcher) Arrive(now loop.Nanos, call front.Call, r *front.Request) (policy.RequestID, error) {
	track, ok := d.tracks[string(r.Track)]
	if !ok {
		return 0, fmt.Errorf("track %q is unknown: %w", r.Track, front.ErrBad)
	}
	tenant := policy.TenantID(-1)
	if len(d.tenants) > 0 && !(d.direct && len(r.Tenant) == 0) {
		if tenant, ok = d.tenants[string(r.Tenant)]; !ok {
			return 0, fmt.Errorf("tenant %q is unknown: %w", r.Tenant, front.ErrBad)
		}
	}
	t := &d.times[track]
	left := t.patience
	if r.Patience > 0 {
		left = min(left, r.Patience)
	}
	if r.Timeout > 0 {
		left = min(left, r.Timeout)
	}
	left -= d.ahead
	cause, after := d.gate.Take(d.jobs.Len(), r.Prompt, left, t.expected+t.per1k*r.Prompt/1000)
	if cause != gate.Taken {
		d.Counts.Refused++
		if cause.Harmless() {
			return 0, front.Refusal{Why: cause.String(), After: min(after, d.advises)}
		}
		return 0, fmt.Errorf("%s, %d tokens of at most %d: %w", cause, r.Prompt, d.gate.Prompt, front.ErrBad)
	}
	ask := door.Job{Tenant: max(int(tenant), 0), Client: d.secretly(tenant, r.Client), Source: d.secretly(-1, r.Source[:]), Prompt: r.Prompt,
		Background: r.Background, Answer: r.Most, Expected: t.expected + t.per1k*r.Prompt/1000, Deadline: now + left}
	if r.Ticket != nil && d.signer != nil {
		if ticket, err := d.signer.Decode(r.Ticket); err == nil {
			ask.Ticket = ticket
		}
	}
	id, j := d.jobs.Add()
	ask.ID = door.JobID(id)
	if !d.direct {
		if cause, advice := d.queue.Arrive(now, ask); cause != door.Admitted {
			d.jobs.Drop(id)
			d.Counts.Refused++
			if cause == door.TooLong {
				return 0, fmt.Errorf("%s, %d tokens: %w", cause, r.Prompt, front.ErrBad)
			}
			return 0, d.refusal(cause.String(), cause.Own(), advice)
		}
	}
	ask.Ticket = nil
	d.Counts.Jobs++
	*j = Job{Account: jobs.Account{ID: id}, call: call, Raw: append(j.Raw[:0], r.Raw...), Named: append(j.Named[:0], r.Named...),
		Target: append(j.Target[:0], r.Target...), Fields: append(j.Fields[:0], r.Fields...), track: track,
		Repeat: uint32(r.Repeat), Trace: r.Trace, arrived: now, timer: j.timer, onTimer: j.onTimer,
		overdue: j.overdue, onOverdue: j.onOverdue, d: d, ask: ask, atDoor: !d.direct}
	j.rpc.j = j
	if j.onTimer == nil {
		j.onTimer, j.onOverdue = j.due, j.forgotten
	}
	d.l.At(&j.overdue, now+left+gate.OverdueAfter, j.onOverdue)
	if r.Timeout > 0 {
		j.ends = now + r.Timeout
	}
	owner := tenant
	if d.direct { // as in the simulator: equal names stand for equal text, whoever asks
		owner = -1
	}
	j.given = policy.Request{ID: id, Class: track, Tenant: tenant,
		Session: policy.SessionKey(d.key('s', owner, r.Session)),
		Prefix:  policy.PrefixKey(d.key('b', owner, r.Beginning)),
		Prompt:  r.Prompt, Shared: r.Shared, Cap: r.Most, Deadline: d.Time(now + left), Hint: policy.Nanos(r.Hint),
		Repeat: r.Repeat > 0}
	if d.direct {
		d.mod.RequestArrived(d.Time(now), j.given)
	}
	return id, nil
}

// Left tells that a client is gone.
func (d *Dispatcher) Left(now loop.Nanos, id policy.RequestID) {
	if j := d.jobs.Find(id); j != nil && !j.Answered() {
		d.answer(j, func() {}, &d.Counts.Left)
		d.left(now, j)
	}
}

// left tells the module that nothing more is owed, and ends a stream that nobody reads.
func (d *Dispatcher) left(now loop.Nanos, j *Job) {
	if j.atDoor {
		j.atDoor = false
		d.queue.Cancel(now, door.JobID(j.ID))
		d.settle(j)
		return
	}
	d.mod.ClientLeft(d.Time(now), j.ID)
	switch {
	case j.begun > 0:
		d.ended(now, j, policy.Canceled, true, policy.NoLoad)
	case j.sent != nil && j.sent.Stage() != Wired: // it is not to begin any more, also where what has begun may not be withdrawn
		d.ended(now, j, policy.NotSent, true, policy.NoLoad)
	}
	d.settle(j)
}

// Room lets an engine go on that was held back for its client.
func (d *Dispatcher) Room(now loop.Nanos, id policy.RequestID) {
	j := d.jobs.Find(id)
	if j == nil || j.waits == 0 || j.sent == nil {
		return
	}
	n := j.waits
	j.waits, j.last = 0, now
	j.sent.Credit(n)
	d.l.Again()
}

// answer gives a job its final answer, if it has none yet.
func (d *Dispatcher) answer(j *Job, give func(), count *uint64) {
	if err := j.Answer(); err != nil {
		d.Counts.Guarded++
		d.log.Error("decision refused", "job", j.ID, "err", err)
		return
	}
	d.l.Cancel(&j.overdue)
	give()
	j.call = nil
	*count++
	d.over(j, count == &d.Counts.Honoured)
}

// over tells the door that a job which it let in has its answer.
func (d *Dispatcher) over(j *Job, served bool) {
	if j.let {
		j.let = false
		d.queue.Over(d.l.Now(), j.ask, served, j.tokens)
		if i := d.insideAt(j.ID); i >= 0 {
			d.inside = slices.Delete(d.inside, i, i+1)
		}
	}
}

// settle frees the place of a job for which nothing is owed, out or held.
func (d *Dispatcher) settle(j *Job) {
	if j.Done() {
		d.l.Cancel(&j.timer)
		d.l.Cancel(&j.overdue)
		d.jobs.Drop(j.ID)
	}
}

// forgotten is the dispatcher's own deadline of a job that has no answer yet and no stream. The module answers every job
// before; this guards against a fault by which it does not.
func (j *Job) forgotten(now loop.Nanos) {
	d := j.d
	_, out := j.Out()
	d.Counts.Overdue++
	d.log.Error("job without an answer at its deadline", "job", j.ID, "name", string(j.Named), "launches", j.Launches(), "out", out, "host", j.Host)
	id := j.ID
	d.cutShort(now, j, "its time is up")
	if j = d.jobs.Find(id); j != nil && out {
		d.ended(now, j, policy.Canceled, true, policy.NoLoad)
		d.settle(j)
	}
}
