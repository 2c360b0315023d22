// Package batchrunner sends the lines of batches through the dispatcher as background jobs, and keeps what comes of them. It
// binds the store (internal/state/batches) and the scheduler (internal/decide/batch) to a gRPC client of the
// dispatcher's own door: nothing reaches an engine past the door and the decision module. It decides nothing.
package batchrunner

import (
	"bufio"
	"bytes"
	"context"
	"docksail/internal/decide/batchscheduler"
	"docksail/internal/state/batchstore"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	pb "docksail/api/docksail/v1"
)

// Endpoint is what lines may ask for.
const Endpoint = "/v1/completions"

// Track is what the runner has to know of a track.
type Track struct {
	Effect   batchscheduler.Effect
	Window   time.Duration
	Patience time.Duration
}

// Tenant is a payer, with its weight among others'.
type Tenant struct {
	Name   string
	Weight float64
}

// Plan is what a runner is told.
type Plan struct {
	Tenants []Tenant         // none: one without a name
	Tracks  map[string]Track // by name
	Target  string           // the dispatcher's address
	Out     int              // lines out at once
	First   time.Duration    // wait after a first try
	Lines   int              // of a file, at most
	Line    int              // bytes of a line, at most
	Seed    uint64
}

// Runner is at work from Run on.
type Runner struct {
	p       Plan
	s       *batchstore.Store
	log     *slog.Logger
	client  pb.GenerationClient
	conn    *grpc.ClientConn
	tenants map[string]int
	begin   time.Time

	mu     sync.Mutex
	sch    *batchscheduler.Scheduler
	active map[string]*active // by the batch's name
	byID   map[batchscheduler.ID]*active
	last   batchscheduler.ID
	wake   chan struct{}
	wg     sync.WaitGroup
	Counts Counts
}

// Counts are what a runner counted since its start.
type Counts struct{ Sent, Served, Nacked, Again, Lost uint64 }

// active is a batch under way.
type active struct {
	id         batchscheduler.ID
	b          batchstore.Batch
	track      string
	cancel     context.CancelFunc // of its lines
	ctx        context.Context
	parent     context.Context // of the runner: its end is no line's
	finalizing bool
	expired    bool // its window is over, by the clock that does not jump
	ending     int  // lines that the scheduler holds for over and that are not on disk yet
}

// New makes a runner.
func New(s *batchstore.Store, p Plan, log *slog.Logger) (*Runner, error) {
	if len(p.Tenants) == 0 {
		p.Tenants = []Tenant{{Weight: 1}}
	}
	r := &Runner{
		p: p, s: s, log: log, tenants: map[string]int{}, active: map[string]*active{}, byID: map[batchscheduler.ID]*active{},
		wake: make(chan struct{}, 1), begin: time.Now(),
	}
	var weights []float64
	for i, t := range p.Tenants {
		r.tenants[t.Name] = i
		weights = append(weights, t.Weight)
	}
	chance := rand.New(rand.NewPCG(p.Seed, 0x6261746368))
	var err error
	if r.sch, err = batchscheduler.New(weights, int64(p.First), p.Out, chance.Float64); err != nil {
		return nil, err
	}
	if r.conn, err = grpc.NewClient(p.Target, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second})); err != nil {
		return nil, err
	}
	r.client = pb.NewGenerationClient(r.conn)
	return r, nil
}

func (r *Runner) now() int64 { return int64(time.Since(r.begin)) }

func (r *Runner) nudge() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run carries on what the store has under way, and what Submit brings, until its context ends; then it waits for its
// lines, which end with it.
func (r *Runner) Run(ctx context.Context) error {
	open, err := r.s.Open()
	if err != nil {
		return err
	}
	for _, b := range open {
		if err := r.carryOn(ctx, b); err != nil { // one that is damaged harms no other
			r.log.Error("batch not carried on", "batch", b.ID, "err", err)
		}
	}
	defer r.conn.Close()
	defer r.wg.Wait()
	timer := time.NewTimer(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
		case <-timer.C:
		}
		r.mu.Lock()
		now := r.now()
		for {
			id, ok := r.sch.Expired(now)
			if !ok {
				break
			}
			a := r.byID[id]
			r.log.Info("batch expired", "batch", a.b.ID)
			a.expired = true
			a.cancel()
		}
		for {
			id, n, ok := r.sch.Next(now)
			if !ok {
				break
			}
			a := r.byID[id]
			r.Counts.Sent++
			r.wg.Add(1)
			go func() {
				defer r.wg.Done()
				r.line(a, n)
			}()
		}
		for _, a := range r.byID {
			if rest, over := r.sch.Rest(a.id); over && !a.finalizing && a.ending == 0 {
				a.finalizing = true
				r.wg.Add(1)
				go func() {
					defer r.wg.Done()
					r.finish(ctx, a, rest)
				}()
			}
		}
		at, some := r.sch.NextAt(now)
		r.mu.Unlock()
		if some {
			timer.Reset(max(time.Duration(at-now), time.Millisecond))
		}
	}
}

// Submit takes a batch that the store has as validating.
func (r *Runner) Submit(ctx context.Context, b batchstore.Batch) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		if err := r.carryOn(ctx, b); err != nil {
			r.log.Error("batch not begun", "batch", b.ID, "err", err)
		}
	}()
}

// carryOn takes a batch up wherever it stands.
func (r *Runner) carryOn(ctx context.Context, b batchstore.Batch) (err error) {
	if b.State == batchscheduler.Validating {
		if b, err = r.validate(b); err != nil || b.State != batchscheduler.InProgress {
			return err
		}
	}
	tenant, ok := r.tenants[b.Tenant]
	if !ok {
		return fmt.Errorf("tenant %q is not there any more", b.Tenant)
	}
	a := &active{b: b, parent: ctx}
	var entries []batchscheduler.Entry
	var recovered []batchscheduler.Line
	type end struct {
		n    batchscheduler.Line
		l    batchstore.Line
		code string
		why  string
	}
	var ends []end
	track := Track{}
	if err := r.s.Lines(b.ID, func(n batchscheduler.Line, l batchstore.Line, rotten error) error {
		for int(n) > len(entries) { // a record is missing
			ends = append(ends, end{batchscheduler.Line(len(entries)), batchstore.Line{}, "rotten", "its record is missing"})
			entries = append(entries, batchscheduler.Entry{At: batchscheduler.Lost})
		}
		if rotten != nil {
			ends = append(ends, end{n, l, "rotten", rotten.Error()})
			entries = append(entries, batchscheduler.Entry{At: batchscheduler.Lost})
			return nil
		}
		if a.track == "" {
			text, err := r.s.Text(b.Input, n, l)
			if req, e := parseLine(text); err == nil && e == nil {
				a.track = req.Body.Model
				track = r.p.Tracks[a.track]
			}
		}
		at, mayHaveRun := batchscheduler.Recover(l.At, track.Effect)
		if mayHaveRun {
			ends = append(ends, end{n, l, "may_have_run", batchscheduler.MayHaveRun})
		} else if at != l.At {
			recovered = append(recovered, n)
		}
		entries = append(entries, batchscheduler.Entry{Cost: float64(l.Cost), Group: l.Group, At: at})
		return nil
	}); err != nil {
		return err
	}
	for _, e := range ends {
		if err := r.s.End(b.ID, e.n, false, lostText(b.ID, e.n, e.l.Custom, e.code, e.why)); err != nil {
			return err
		}
	}
	if len(recovered)+len(ends) > 0 {
		r.log.Info("batch carried on", "batch", b.ID, "lines_again", len(recovered), "lines_lost", len(ends))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	a.id = r.last
	left := time.Until(time.Unix(b.Expires, 0))
	a.ctx, a.cancel = context.WithDeadline(ctx, time.Now().Add(left))
	if err := r.sch.Add(batchscheduler.Batch{
		ID: a.id, Tenant: tenant, Effect: track.Effect, Window: int64(track.Window), Ends: r.now() + int64(left),
		Lines: entries,
	}); err != nil {
		return err
	}
	r.active[b.ID], r.byID[a.id] = a, a
	if b.State == batchscheduler.Cancelling || b.State == batchscheduler.Finalizing {
		r.sch.Stop(a.id)
	}
	r.nudge()
	return nil
}

// request is a line as it is handed in.
type request struct {
	Custom string `json:"custom_id"`
	Method string `json:"method"`
	URL    string `json:"url"`
	Body   struct {
		Model           string `json:"model"`
		Prompt          string `json:"prompt"`
		MaxTokens       int    `json:"max_tokens"`
		PromptTokens    int    `json:"prompt_tokens"`    // 0 = a quarter of the prompt's bytes
		Beginning       string `json:"beginning"`        // name of a beginning that others share
		BeginningTokens int    `json:"beginning_tokens"` // how long it is
		User            string `json:"user"`
	} `json:"body"`
}

const (
	bytesPerToken = 4   // where a line names no length
	groupBytes    = 512 // of a prompt by which lines that begin alike are told
	mostTokens    = 1 << 20
	scanChunk     = 2000 // lines that are written at once
	answerCost    = 8    // tokens read that a token written costs, as at the door
)

func parseLine(text []byte) (*request, error) {
	q := &request{}
	dec := json.NewDecoder(bytes.NewReader(text))
	if err := dec.Decode(q); err != nil {
		return nil, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("more than one value in the line")
	}
	if q.Body.PromptTokens == 0 {
		q.Body.PromptTokens = max(len(q.Body.Prompt)/bytesPerToken, 1)
	}
	return q, nil
}

// fault says what is wrong with a request; an empty code says nothing is.
func (r *Runner) fault(q *request, endpoint string) (code, why string) {
	switch t, known := r.p.Tracks[q.Body.Model]; {
	case q.Custom == "":
		return "missing_custom_id", "custom_id is missing"
	case q.Method != "POST":
		return "invalid_method", fmt.Sprintf("method %q, want POST", q.Method)
	case q.URL != endpoint:
		return "mismatched_url", fmt.Sprintf("url %q, want %q as the batch has it", q.URL, endpoint)
	case !known:
		return "model_not_found", fmt.Sprintf("model %q is not there", q.Body.Model)
	case t.Patience <= 0:
		return "model_not_found", fmt.Sprintf("model %q takes no batches", q.Body.Model)
	case q.Body.MaxTokens < 1 || q.Body.MaxTokens > mostTokens:
		return "invalid_value", fmt.Sprintf("max_tokens %d, want 1 to %d", q.Body.MaxTokens, mostTokens)
	case q.Body.PromptTokens < 1 || q.Body.PromptTokens > mostTokens || q.Body.BeginningTokens < 0 || q.Body.BeginningTokens > q.Body.PromptTokens:
		return "invalid_value", "prompt_tokens or beginning_tokens out of their range"
	}
	return "", ""
}

const mostFaults = 50 // told of one file

// validate reads a batch's file and writes its lines, or says what is wrong with it. Memory holds no text.
func (r *Runner) validate(b batchstore.Batch) (batchstore.Batch, error) {
	var faults []batchstore.Fault
	bad := func(line int, code, format string, args ...any) {
		if len(faults) < mostFaults {
			faults = append(faults, batchstore.Fault{Line: line, Code: code, Message: fmt.Sprintf(format, args...)})
		}
	}
	n, err := r.scan(b, bad)
	if err != nil {
		bad(0, "unreadable", "%v", err)
	}
	if n == 0 && len(faults) == 0 {
		bad(0, "empty_file", "the file has no lines")
	}
	to := batchscheduler.InProgress
	if len(faults) > 0 {
		to = batchscheduler.Failed
	}
	return r.s.Change(b.ID, to, func(b *batchstore.Batch) {
		b.Total, b.Faults = n, faults
		if to == batchscheduler.Failed {
			b.Ended = time.Now().Unix()
		} else {
			b.InProgress = time.Now().Unix()
		}
	})
}

func (r *Runner) scan(b batchstore.Batch, bad func(line int, code, format string, args ...any)) (int, error) {
	f, err := r.s.Input(b.Input)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	in := bufio.NewReaderSize(f, 64<<10)
	var chunk []batchstore.Line
	seen := map[uint64]bool{} // hashes of names: of a hundred thousand two fall together once in billions of files
	model, n, offset := "", 0, int64(0)
	flush := func() error {
		err := r.s.AddLines(b.ID, batchscheduler.Line(n-len(chunk)), chunk)
		chunk = chunk[:0]
		return err
	}
	var text []byte
	for no := 1; ; no++ {
		text = text[:0]
		at := offset
		long := false
		var err error
		for {
			var part []byte
			part, err = in.ReadSlice('\n')
			offset += int64(len(part))
			if long = long || len(text)+len(part) > r.p.Line+1; !long {
				text = append(text, part...)
			}
			if !errors.Is(err, bufio.ErrBufferFull) {
				break
			}
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return n, err
		}
		line := bytes.TrimRight(text, "\r\n")
		switch {
		case long:
			bad(no, "line_too_long", "more than %d bytes", r.p.Line)
		case len(bytes.TrimSpace(line)) == 0:
		case n == r.p.Lines:
			bad(no, "too_many_lines", "more than %d lines", r.p.Lines)
			return n, nil
		default:
			q, perr := parseLine(line)
			if perr != nil {
				bad(no, "invalid_json_line", "%v", perr)
				break
			}
			if code, why := r.fault(q, b.Endpoint); code != "" {
				bad(no, code, "%s", why)
				break
			}
			h := xxhash.Sum64String(q.Custom)
			if seen[h] {
				bad(no, "duplicate_custom_id", "custom_id %q stands twice", q.Custom)
				break
			}
			seen[h] = true
			if model == "" {
				model = q.Body.Model
			} else if model != q.Body.Model {
				bad(no, "mismatched_model", "model %q, want %q as in the first line", q.Body.Model, model)
				break
			}
			group := uint64(0)
			if q.Body.Beginning != "" {
				group = max(xxhash.Sum64String(q.Body.Beginning), 1)
			} else if len(q.Body.Prompt) > groupBytes {
				group = max(xxhash.Sum64String(q.Body.Prompt[:groupBytes]), 1)
			}
			chunk = append(chunk, batchstore.Line{
				Offset: at, Length: int32(len(line)), Sum: crc32.ChecksumIEEE(line), Group: group,
				Cost: float32(q.Body.PromptTokens + answerCost*q.Body.MaxTokens/2), Custom: q.Custom,
			})
			n++
			if len(chunk) >= scanChunk {
				if err := flush(); err != nil {
					return n, err
				}
			}
		}
		if errors.Is(err, io.EOF) {
			return n, flush()
		}
	}
}

// Cancel has nothing more of a batch go out; what is out ends by itself or is called back, and the rest is given up.
func (r *Runner) Cancel(tenant, id string) (batchstore.Batch, error) {
	b, err := r.s.Batch(tenant, id)
	if err != nil {
		return b, err
	}
	if b.State == batchscheduler.Cancelling || b.State == batchscheduler.Cancelled {
		return b, nil
	}
	if b, err = r.s.Change(id, batchscheduler.Cancelling, func(b *batchstore.Batch) { b.Cancelling = time.Now().Unix() }); err != nil {
		return b, err
	}
	r.mu.Lock()
	if a := r.active[id]; a != nil {
		a.b.State = batchscheduler.Cancelling
		r.sch.Stop(a.id)
		a.cancel()
	}
	r.mu.Unlock()
	r.nudge()
	return b, nil
}

// Forecast is when a batch will be through at its present pace; false if that is not known.
func (r *Runner) Forecast(id string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.active[id]
	if a == nil {
		return time.Time{}, false
	}
	at, ok := r.sch.Forecast(r.now(), a.id)
	return r.begin.Add(time.Duration(at)), ok
}

// line sends one line's job and keeps what comes of it.
func (r *Runner) line(a *active, n batchscheduler.Line) {
	l, err := r.s.Line(a.b.ID, n)
	var text []byte
	var q *request
	if err == nil {
		if text, err = r.s.Text(a.b.Input, n, l); err == nil {
			q, err = parseLine(text)
		}
	}
	if err != nil { // it has rotted: this line is lost, with its name
		r.ended(a, n, l, batchscheduler.Bad, 0, "rotten", err.Error(), nil)
		return
	}
	track := r.p.Tracks[q.Body.Model]
	if track.Effect != batchscheduler.Redoable { // before it goes out it is on disk that it may
		if err := r.s.Mark(a.b.ID, n, batchscheduler.Out); err != nil {
			r.log.Error("line not sent", "batch", a.b.ID, "line", n+1, "err", err)
			r.ended(a, n, l, batchscheduler.Nacked, int64(time.Second), "", "", nil)
			return
		}
	}
	deadline, _ := a.ctx.Deadline()
	ctx := metadata.AppendToOutgoingContext(a.ctx, "docksail-background", "1")
	req := &pb.GenerateRequest{
		Track: q.Body.Model, Tenant: a.b.Tenant, PromptTokens: uint32(q.Body.PromptTokens), MaxTokens: uint32(q.Body.MaxTokens),
		Beginning: q.Body.Beginning, BeginningTokens: uint32(q.Body.BeginningTokens), Client: q.Body.User, Prompt: []byte(q.Body.Prompt),
		Label: a.b.ID + "/" + q.Custom, PatienceNs: uint64(min(track.Patience, max(time.Until(deadline), time.Millisecond))),
	}
	stream, err := r.client.Generate(ctx, req)
	var answer strings.Builder
	tokens := 0
	for err == nil {
		var t *pb.Tokens
		if t, err = stream.Recv(); err == nil {
			answer.Write(t.Text)
			tokens += len(t.Tokens)
		}
	}
	if errors.Is(err, io.EOF) {
		job := ""
		if md, e := stream.Header(); e == nil && len(md.Get("docksail-job")) > 0 {
			job = md.Get("docksail-job")[0]
		}
		r.ended(a, n, l, batchscheduler.Served, 0, "", "", doneText(a.b.ID, n, q, job, answer.String(), tokens))
		return
	}
	var push []string
	if stream != nil {
		push = stream.Trailer().Get("grpc-retry-pushback-ms")
	}
	switch st := status.Convert(err); {
	case a.ctx.Err() != nil && len(push) == 0: // called back: by a cancel, the window's end, or our own
		r.ended(a, n, l, batchscheduler.Broken, 0, "called_back", "called back while it was out", nil)
	case (st.Code() == codes.Unavailable || st.Code() == codes.ResourceExhausted) && len(push) > 0:
		ms, _ := strconv.ParseInt(push[0], 10, 64)
		r.ended(a, n, l, batchscheduler.Nacked, max(ms, 0)*1e6, "", st.Message(), nil)
	case st.Code() == codes.Aborted:
		r.ended(a, n, l, batchscheduler.Abandoned, 0, "abandoned", st.Message(), nil)
	case st.Code() == codes.InvalidArgument:
		r.ended(a, n, l, batchscheduler.Bad, 0, "invalid_request", st.Message(), nil)
	default:
		r.ended(a, n, l, batchscheduler.Broken, 0, "connection_lost", st.Message(), nil)
	}
}

// ended has the scheduler judge how a line ended, and keeps it if it is over. The result is on disk before the line
// counts as over.
func (r *Runner) ended(a *active, n batchscheduler.Line, l batchstore.Line, how batchscheduler.How, after int64, code, why string, text []byte) {
	if how == batchscheduler.Served {
		if err := r.s.End(a.b.ID, n, true, text); err != nil {
			r.log.Error("result not kept", "batch", a.b.ID, "line", n+1, "err", err)
			how = batchscheduler.Broken // a redoable line is done anew; any other says that it may have run
			code, why = "result_not_kept", err.Error()
		}
	}
	r.mu.Lock()
	verdict, reason := r.sch.Ended(r.now(), a.id, n, how, after)
	switch {
	case how == batchscheduler.Served:
		r.Counts.Served++
	case how == batchscheduler.Nacked:
		r.Counts.Nacked++
	}
	switch verdict {
	case batchscheduler.GoAgain:
		r.Counts.Again++
	case batchscheduler.IsLost:
		r.Counts.Lost++
	}
	a.ending++
	cancelled := a.b.State == batchscheduler.Cancelling
	stopping := a.parent.Err() != nil && !cancelled && !a.expired
	r.mu.Unlock()
	switch {
	case verdict == batchscheduler.IsLost && stopping: // the process ends: the next one takes it up by what is on disk
	case verdict == batchscheduler.IsLost:
		if reason == batchscheduler.MayHaveRun || reason == batchscheduler.LabelIsOver {
			code = "may_have_run"
		} else if cancelled {
			code, reason = "batch_cancelled", batchscheduler.ByCancel
		} else if reason == batchscheduler.WindowOver {
			code = "batch_expired"
		}
		if why != "" {
			reason += ": " + why
		}
		if err := r.s.End(a.b.ID, n, false, lostText(a.b.ID, n, l.Custom, code, reason)); err != nil {
			r.log.Error("end not kept", "batch", a.b.ID, "line", n+1, "err", err)
		}
	case verdict == batchscheduler.GoAgain && how == batchscheduler.Nacked && l.At != batchscheduler.Waiting:
		if err := r.s.Mark(a.b.ID, n, batchscheduler.Waiting); err != nil {
			r.log.Error("line not marked", "batch", a.b.ID, "line", n+1, "err", err)
		}
	}
	r.mu.Lock()
	a.ending--
	r.mu.Unlock()
	r.nudge()
}

const finishAgain = 2 * time.Second // a disk that was full may have room then

// finish gives up the rest of a batch, if there is any, and writes its files.
func (r *Runner) finish(ctx context.Context, a *active, rest []batchscheduler.Line) {
	r.mu.Lock()
	state, expired := a.b.State, a.expired
	r.mu.Unlock()
	final, code, why := batchscheduler.Completed, "", ""
	switch {
	case state == batchscheduler.Cancelling:
		final, code, why = batchscheduler.Cancelled, "batch_cancelled", batchscheduler.ByCancel
	case len(rest) > 0 || expired:
		final, code, why = batchscheduler.Expired, "batch_expired", batchscheduler.WindowOver
	}
	if ctx.Err() != nil {
		return
	}
	for {
		err := r.finalize(a, rest, final, code, why)
		if err == nil {
			r.log.Info("batch over", "batch", a.b.ID, "state", final.String())
			break
		}
		r.log.Error("batch not finalized yet", "batch", a.b.ID, "err", err)
		select {
		case <-time.After(finishAgain):
		case <-ctx.Done():
			return
		}
	}
	r.mu.Lock()
	a.cancel()
	r.sch.Remove(a.id)
	delete(r.active, a.b.ID)
	delete(r.byID, a.id)
	r.mu.Unlock()
}

func (r *Runner) finalize(a *active, rest []batchscheduler.Line, final batchscheduler.State, code, why string) error {
	if err := r.s.EndRest(a.b.ID, rest, func(n batchscheduler.Line, l batchstore.Line) []byte {
		return lostText(a.b.ID, n, l.Custom, code, why)
	}); err != nil {
		return err
	}
	b, err := r.s.Batch(a.b.Tenant, a.b.ID)
	if err != nil {
		return err
	}
	if b.State != batchscheduler.Finalizing {
		if b, err = r.s.Change(b.ID, batchscheduler.Finalizing, func(b *batchstore.Batch) { b.Final, b.Finalizing = final, time.Now().Unix() }); err != nil {
			return err
		}
	}
	_, err = r.s.Finalize(time.Now(), b)
	return err
}

func lineID(id string, n batchscheduler.Line) string {
	return fmt.Sprintf("batch_req_%s_%d", strings.TrimPrefix(id, "batch_"), n+1)
}

type outLine struct {
	ID       string    `json:"id"`
	Custom   string    `json:"custom_id"`
	Response *response `json:"response"`
	Error    *outError `json:"error"`
}

type response struct {
	Status  int            `json:"status_code"`
	Request string         `json:"request_id"`
	Body    map[string]any `json:"body"`
}

type outError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func doneText(id string, n batchscheduler.Line, q *request, job, answer string, tokens int) []byte {
	b, err := json.Marshal(outLine{ID: lineID(id, n), Custom: q.Custom, Response: &response{Status: 200, Request: job, Body: map[string]any{
		"id": "cmpl-" + job, "object": "text_completion", "model": q.Body.Model,
		"choices": []any{map[string]any{"index": 0, "text": answer, "finish_reason": "stop", "logprobs": nil}},
		"usage":   map[string]any{"prompt_tokens": q.Body.PromptTokens, "completion_tokens": tokens, "total_tokens": q.Body.PromptTokens + tokens},
	}}})
	if err != nil {
		panic(err) // made of texts and numbers
	}
	return b
}

func lostText(id string, n batchscheduler.Line, custom, code, why string) []byte {
	b, err := json.Marshal(outLine{ID: lineID(id, n), Custom: custom, Error: &outError{code, why}})
	if err != nil {
		panic(err)
	}
	return b
}
