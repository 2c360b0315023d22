package dispatch

import (
	"encoding/base64"
	"net/netip"
	"strconv"

	orca "github.com/cncf/xds/go/xds/data/orca/v3"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"docksail/internal/decide/links"
	"docksail/internal/h2"
	"docksail/internal/loop"
	"docksail/internal/state/fleet"
	"docksail/policy"
)

const (
	pathRead    = "/docksail.v1.Engine/Read"
	pathWrite   = "/docksail.v1.Engine/Write"
	pathRelease = "/docksail.v1.Engine/Release"
	pathWatch   = "/docksail.v1.Fleet/Watch"

	busyOutput = 256 << 10 // bytes queued for a socket from which on messages wait in their streams
	linkOutput = 32 << 20  // at which a connection to an engine that takes nothing is given up
)

// engines is the way out to engines that speak gRPC.
type engines struct {
	d       *Dispatcher
	by      map[policy.ServerID]*engine
	list    *fleet.List
	lister  lister
	keeper  links.Keeper
	connect int64
	lim     h2.Limits
	dirty   []*link
	facts   []links.Link
	scratch []byte
}

func (x *engines) Start(loop.Nanos)     { x.lister.start() }
func (x *engines) Watch(now loop.Nanos) { x.lister.watch(now) }
func (x *engines) Close()               { x.lister.close() }

// Idle implements Exit: releases that wait for a connection are left to the engines' own time.
func (x *engines) Idle() bool { return true }

func (x *engines) Reads(host policy.ServerID) (reads, known bool) {
	e := x.by[host]
	return e != nil && e.role == policy.Prefill, e != nil
}

func (x *engines) Flush() {
	for _, k := range x.dirty {
		k.dirty = false
		k.flush()
	}
	x.dirty = x.dirty[:0]
}

func (x *engines) LetGo(now loop.Nanos, j *Job, at policy.ServerID, shot policy.AttemptNumber) {
	if e := x.by[at]; e != nil {
		on := j.rpc.last // the launch's own keeps the order
		if on != nil && on.e != e {
			on = nil
		}
		e.letGo(now, on, j.ID, shot)
	}
}

func (x *engines) Launch(now loop.Nanos, j *Job, shot policy.AttemptNumber) Sent {
	e := x.by[j.Host]
	k := e.linkFor(now)
	if k != nil && k.ready && j.rpc.waited && !e.trial.May(e.wired()) { // once is enough: its time is the client's
		k = nil
	}
	if k == nil {
		return nil
	}
	j.rpc.on, j.rpc.last = k, nil
	k.out++
	k.used, k.sent = now, now
	if k.out == 1 && k.ready && k.asked <= k.heard {
		x.d.l.At(&k.timer, x.keeper.Begin(now), k.onKeep)
	}
	if k.ready && e.trial.May(e.wired()) {
		k.send(now, j, shot)
		return &j.rpc
	}
	k.queue = append(k.queue, j.ID)
	if k.ready {
		j.rpc.wait(now)
	}
	return &j.rpc
}

// sending is a launch that is out to an engine.
type sending struct {
	j      *Job
	on     *link      // nil: none is out
	last   *link      // where the last one was
	stream *h2.Stream // nil while its connection is under way
	wired  bool       // it was sent
	waited bool       // one of the job's launches has waited for an engine's trial
}

// wait has a launch wait for its engine's trial: not for long, as what it is to fetch is held meanwhile.
func (s *sending) wait(now loop.Nanos) {
	s.waited = true
	s.j.d.l.At(&s.j.timer, min(s.j.Sent+s.j.Within, now+s.on.e.x.keeper.Hold()), s.j.onTimer)
}

func (s *sending) End(now loop.Nanos) bool {
	k, cut := s.on, s.stream != nil
	if cut {
		s.stream.Ref = 0
		s.stream.Reset(http2.ErrCodeCancel)
	}
	k.out--
	if s.wired {
		k.wired--
	}
	k.used = now
	k.touch()
	s.on, s.last, s.stream, s.wired = nil, k, nil, false
	return cut
}

func (s *sending) Over(now loop.Nanos) {
	if k := s.last; k != nil && len(k.queue) > 0 {
		k.e.pump(now)
	}
}

func (s *sending) Credit(n int) {
	if s.stream != nil {
		s.stream.Credit(n)
		s.on.touch()
	}
}

// Reached implements Sent: on a connection that is asked for signs of life, what was written is taken to have come.
func (s *sending) Reached() bool { return s.Stage() == Wired }

// Stage implements Sent.
func (s *sending) Stage() Stage {
	switch {
	case s.stream != nil:
		return Wired
	case s.on.ready:
		return Queued
	}
	return Connecting
}

// engine is a host of the list and the connections to it.
type engine struct {
	d     *Dispatcher
	x     *engines
	id    policy.ServerID
	addr  netip.AddrPort
	name  string // its address, as :authority has it
	role  policy.Role
	links []*link
	owed  []owed
	trial links.Trial
	lost  bool // its last connection ended, or could not be made
}

// wired counts the launches that were sent to it and are out.
func (e *engine) wired() int {
	n := 0
	for _, k := range e.links {
		n += k.wired
	}
	return n
}

// pump sends launches that wait, as far as the engine's trial lets them.
func (e *engine) pump(now loop.Nanos) {
	for _, k := range e.links {
		for k.ready && !k.gone && len(k.queue) > 0 && e.trial.May(e.wired()) {
			id := k.queue[0]
			k.queue = k.queue[1:]
			j := k.d.jobs.Find(id)
			if j == nil || j.rpc.on != k || j.rpc.stream != nil {
				continue
			}
			shot, out := j.Out()
			switch {
			case !out:
			case k.h.CanOpen() && now < j.Before:
				k.send(now, j, shot)
			default:
				k.d.ended(now, j, policy.NotSent, false, policy.NoLoad)
				k.d.settle(j)
			}
		}
	}
}

// linkFor gives the connection for a launch; nil if there may be none.
func (e *engine) linkFor(now loop.Nanos) *link {
	d := e.d
	e.x.facts = e.x.facts[:0]
	for _, k := range e.links {
		e.x.facts = append(e.x.facts, k.facts())
	}
	i, dial, none := links.Pick(e.x.facts)
	switch {
	case none:
		return nil
	case !dial:
		return e.links[i]
	}
	k := &link{d: d, e: e, heard: now, used: now}
	k.onKeep = k.keep
	k.h = h2.NewClient(e.x.lim, k)
	lc, err := d.l.Dial(e.addr, e.x.connect, k)
	if err != nil {
		d.log.Warn("engine", "host", e.id, "err", err)
		return nil
	}
	k.lc = lc
	lc.Bound(linkOutput)
	if len(e.links) == 0 && (e.lost || e.x.lister.lost()) { // what was known of it may be over
		e.trial.Lost()
	}
	e.links = append(e.links, k)
	return k
}

func (e *engine) readyLink() *link {
	for _, k := range e.links {
		if k.ready && !k.past && k.h.CanOpen() {
			return k
		}
	}
	return nil
}

// owed is something to be let go of that found no connection.
type owed struct {
	job  policy.RequestID
	shot policy.AttemptNumber
}

// letGo has what a launch left at the engine let go: now, or as soon as there is a connection.
func (e *engine) letGo(now loop.Nanos, on *link, id policy.RequestID, shot policy.AttemptNumber) {
	e.d.Counts.Releases++
	e.letGoBy(now, on, id, shot)
}

// letGoBy sends a release by a connection that is fit, or remembers it until there is one.
func (e *engine) letGoBy(now loop.Nanos, on *link, id policy.RequestID, shot policy.AttemptNumber) {
	if on == nil || on.gone || on.past || !on.h.CanOpen() { // the launch's own keeps the order
		on = e.readyLink()
	}
	if on != nil {
		on.sendRelease(id, shot)
		return
	}
	if !links.MayOwe(len(e.owed)) || e.linkFor(now) == nil {
		e.d.Counts.ReleasesLost++
		return
	}
	e.owed = append(e.owed, owed{id, shot})
}

// unqueue ends launches that wait for a connection: the host drains, and by the time the connection is made it
// may be too late to send them.
func (e *engine) unqueue(now loop.Nanos) {
	for _, k := range e.links {
		queue := k.queue
		k.queue = nil
		for _, id := range queue {
			if j := e.d.jobs.Find(id); j != nil && j.rpc.on == k && j.rpc.stream == nil {
				e.d.ended(now, j, policy.NotSent, false, policy.NoLoad)
				e.d.settle(j)
			}
		}
	}
}

// link is one connection to an engine.
type link struct {
	d      *Dispatcher
	e      *engine
	lc     *loop.Conn
	h      *h2.Conn
	ready  bool
	gone   bool
	spare  bool // it was closed because nothing needed it
	past   bool // its engine has moved: no more launches
	dirty  bool
	out    int
	wired  int                // launches that were sent, of those out
	queue  []policy.RequestID // launches that wait for the connection, or for the engine's trial
	now    loop.Nanos
	heard  loop.Nanos
	asked  loop.Nanos
	asks   int
	used   loop.Nanos
	sent   loop.Nanos
	timer  loop.Timer
	onKeep func(loop.Nanos)
}

func (k *link) facts() links.Link {
	return links.Link{Ready: k.ready && !k.past && k.h.CanOpen(), Making: !k.ready && !k.gone && !k.past, Out: k.out, Heard: k.heard,
		Asked: k.asked, Asks: k.asks, Used: k.used, Sent: k.sent}
}

func (k *link) touch() {
	if !k.dirty && !k.gone {
		k.dirty = true
		k.e.x.dirty = append(k.e.x.dirty, k)
	}
}

func (k *link) flush() {
	if k.gone {
		return
	}
	if k.ready && k.h.Waiting() {
		k.lc.Write(k.h.Take())
	}
	if k.h.Over() != nil {
		k.lc.CloseSoon()
	} else if k.lc.Queued() > busyOutput {
		k.h.Congested(true)
	}
}

// keep has the connection judged.
func (k *link) keep(now loop.Nanos) {
	if k.gone {
		return
	}
	verdict, again := k.e.x.keeper.Judge(now, k.facts())
	switch verdict {
	case links.Ask:
		k.d.Counts.Pings++
		k.asked = now
		k.asks++
		k.h.Ping()
		k.touch()
	case links.Dead:
		k.d.Counts.DeadLinks++
		k.d.log.Warn("engine does not answer a ping", "host", k.e.id, "launches", k.out)
		k.lc.Close()
		return
	case links.Spare:
		k.spare = true
		k.lc.Close()
		return
	}
	k.d.l.At(&k.timer, again, k.onKeep)
}

// ---- What the loop tells.

func (k *link) Opened(now loop.Nanos) {
	k.now, k.ready, k.heard = now, true, now
	k.e.pump(now)
	for _, id := range k.queue {
		if j := k.d.jobs.Find(id); j != nil && j.rpc.on == k && j.rpc.stream == nil {
			j.rpc.wait(now)
		}
	}
	for _, o := range k.e.owed {
		if k.h.CanOpen() {
			k.sendRelease(o.job, o.shot)
		}
	}
	k.e.owed = k.e.owed[:0]
	k.touch()
	k.d.l.At(&k.timer, now+k.e.x.keeper.Expected, k.onKeep)
}

func (k *link) Data(now loop.Nanos, p []byte) {
	k.now, k.heard = now, now
	k.h.Feed(now, p)
	k.touch()
}

func (k *link) PeerDone(loop.Nanos) { k.lc.Close() }

func (k *link) Drained(now loop.Nanos) {
	k.now = now
	k.h.Congested(false)
	k.flush()
}

func (k *link) Closed(now loop.Nanos, err error) {
	k.now, k.gone = now, true
	d := k.d
	d.l.Cancel(&k.timer)
	for i, other := range k.e.links {
		if other == k {
			k.e.links = append(k.e.links[:i], k.e.links[i+1:]...)
			break
		}
	}
	k.e.lost = !k.spare && !k.past
	if !k.ready {
		d.log.Info("engine not reached", "host", k.e.id, "err", err)
		d.Counts.ReleasesLost += uint64(len(k.e.owed)) // its process has ended, or lets go by its own time
		k.e.owed = k.e.owed[:0]
	}
	queue := k.queue
	k.queue = nil
	for _, id := range queue { // none of them was sent
		if j := d.jobs.Find(id); j != nil && j.rpc.on == k && j.rpc.stream == nil {
			d.ended(now, j, policy.Unreachable, false, policy.NoLoad)
			d.settle(j)
		}
	}
	k.ready = false
	k.h.Lost()
}

// ---- What is sent.

// send opens the stream of a launch.
func (k *link) send(now loop.Nanos, j *Job, shot policy.AttemptNumber) {
	d, x := k.d, k.e.x
	path, timeout := pathWrite, int64(0)
	if j.Reads {
		path, timeout = pathRead, max(j.Within-(now-j.Sent), 1)
	}
	extra := [3]hpack.HeaderField{
		{Name: "docksail-job", Value: d.name(j.ID), Sensitive: true},
		{Name: "docksail-shot", Value: strconv.Itoa(int(shot))}}
	n := 2
	if j.Trace != "" {
		extra[2] = hpack.HeaderField{Name: "traceparent", Value: j.Trace, Sensitive: true}
		n = 3
	}
	s := k.h.OpenStream(path, k.e.name, timeout, extra[:n]...)
	b := x.scratch[:0]
	b = protowire.AppendTag(b, 1, protowire.VarintType)
	b = protowire.AppendVarint(b, d.life)
	b = protowire.AppendTag(b, 2, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(j.ID))
	b = protowire.AppendTag(b, 3, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(shot))
	b = protowire.AppendTag(b, 4, protowire.BytesType)
	b = protowire.AppendBytes(b, j.Raw)
	if at, held := j.Held(); held && !j.Reads {
		if e := k.e.x.by[at]; e != nil {
			b = protowire.AppendTag(b, 5, protowire.BytesType)
			b = protowire.AppendString(b, e.name)
		}
	}
	b = protowire.AppendTag(b, 6, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(max(j.Within-(now-j.Sent), 1)))
	if j.Repeat > 0 {
		b = protowire.AppendTag(b, 7, protowire.VarintType)
		b = protowire.AppendVarint(b, uint64(j.Repeat))
	}
	x.scratch = b
	s.Ref = uint64(j.ID)
	s.Send(b, true)
	j.rpc.stream, j.rpc.wired = s, true
	d.l.At(&j.timer, max(j.Sent+j.Within, now+1), j.onTimer)
	k.wired++
	k.touch()
}

// sendRelease lets go of what a host holds. If it is lost with its connection it is sent again by another, as long as
// the engine can be reached.
func (k *link) sendRelease(id policy.RequestID, shot policy.AttemptNumber) {
	s := k.h.OpenStream(pathRelease, k.e.name, k.e.x.keeper.Expected)
	b := k.e.x.scratch[:0]
	b = protowire.AppendTag(b, 1, protowire.VarintType)
	b = protowire.AppendVarint(b, k.d.life)
	b = protowire.AppendTag(b, 2, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(id))
	b = protowire.AppendTag(b, 3, protowire.VarintType)
	b = protowire.AppendVarint(b, uint64(shot))
	k.e.x.scratch = b
	s.Tag = owed{id, shot}
	s.Send(b, true)
	k.touch()
}

// ---- What HTTP/2 tells.

// job of a stream, if the stream is still its launch.
func (k *link) job(s *h2.Stream) *Job {
	if s.Ref == 0 {
		return nil
	}
	if j := k.d.jobs.Find(policy.RequestID(s.Ref)); j != nil && j.rpc.stream == s {
		return j
	}
	return nil
}

func (k *link) Headers(*h2.Stream, *h2.Header) { k.asks = 0 }

func (k *link) Message(s *h2.Stream, p []byte) bool {
	k.asks = 0
	j := k.job(s)
	if j == nil || j.Reads {
		return false
	}
	if !j.Answered() && !j.Begun() {
		k.e.trial.Heard()
		k.e.pump(k.now)
	}
	return k.d.Tokens(k.now, j, p, len(p)+5)
}

func (k *link) HalfClosed(*h2.Stream) {}

func (k *link) Finished(s *h2.Stream, code codes.Code, _ string, trailer *h2.Header) {
	k.asks = 0
	j := k.job(s)
	if j == nil {
		return
	}
	s.Ref = 0
	j.rpc.stream = nil // it is over by itself
	_, held := j.Held()
	how := policy.Failed
	switch {
	case code == codes.OK && j.Reads:
		how = policy.Read
		k.e.trial.Heard()
	case code == codes.OK:
		how = policy.Served
	case j.Begun():
		how = policy.Broken
	case code == codes.ResourceExhausted:
		how = policy.Rejected
	case code == codes.FailedPrecondition && held:
		how = policy.Stateless
	case code == codes.DeadlineExceeded:
		how = policy.Late
	}
	k.d.Finish(k.now, j, how, ": "+code.String(), k.e.x.load(trailer))
	k.touch()
}

func (k *link) Reset(s *h2.Stream, _ http2.ErrCode, refused bool) {
	if o, ok := s.Tag.(owed); ok && k.gone {
		s.Tag = nil
		k.e.letGoBy(k.now, nil, o.job, o.shot)
		return
	}
	j := k.job(s)
	if j == nil {
		return
	}
	s.Ref = 0
	j.rpc.stream = nil
	how := policy.Broken
	if refused { // nothing was done for it
		how = policy.Rejected
	}
	k.d.Finish(k.now, j, how, "", policy.NoLoad)
}

func (k *link) Room(*h2.Stream) {}

// GoingAway: the engine wants no more on this connection; what runs on it ends there.
func (k *link) GoingAway() { k.touch() }

func (k *link) Pong() {}

// load reads an ORCA report from a trailer; one that is too old counts as none.
func (x *engines) load(trailer *h2.Header) policy.Load {
	text := trailer.Get("endpoint-load-metrics-bin")
	if text == "" {
		return policy.NoLoad
	}
	b, err := base64.RawStdEncoding.DecodeString(trimPadding(text))
	if err != nil {
		return policy.NoLoad
	}
	var r orca.OrcaLoadReport
	if proto.Unmarshal(b, &r) != nil {
		return policy.NoLoad
	}
	x.d.Counts.Reports++
	load := policy.NoLoad
	if r.MemUtilization > 0 {
		load.Memory = r.MemUtilization
	}
	if v, ok := r.NamedMetrics["requests"]; ok {
		load.Requests = v
	}
	if v, ok := r.NamedMetrics["unread_tokens"]; ok {
		load.Unread = v
	}
	if age, ok := r.NamedMetrics["age_ms"]; ok && !x.keeper.Fresh(int64(age*1e6)) {
		x.d.Counts.LateReports++
		return policy.NoLoad
	}
	return load
}

func trimPadding(s string) string {
	for len(s) > 0 && s[len(s)-1] == '=' {
		s = s[:len(s)-1]
	}
	return s
}
