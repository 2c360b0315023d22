// Package batchrunner sends the lines of batches through the dispatcher as background jobs, and keeps what comes of them. It
// binds the store (internal/state/batches) and the scheduler (internal/decide/batch) to a gRPC client of the
// dispatcher's own door: nothing reaches an engine past the door and the decision module. It decides nothing.
package batchrunner

import (
	"bufio"
	"bytes"
	"context"
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
	"docksail/internal/decide/batchscheduler"
	"docksail/internal/state/batchstore"
)

// CompletionsEndpoint is what lines may ask for.
const CompletionsEndpoint = "/v1/completions"

// Class is what the runner has to know of a track.
type Class struct {
	Effect              batchscheduler.Effect
	DeduplicationWindow time.Duration
	Timeout             time.Duration
}

// Tenant is a payer, with its weight among others'.
type Tenant struct {
	Name   string
	Weight float64
}

// Config is what a runner is told.
type Config struct {
	Tenants           []Tenant         // none: one without a name
	Classes           map[string]Class // by name
	DispatcherAddress string           // the dispatcher's address
	MaxLinesInFlight  int              // lines out at once
	InitialBackoff    time.Duration    // wait after a first try
	MaxLines          int              // of a file, at most
	MaxLineBytes      int              // bytes of a line, at most
	Seed              uint64
}

// Runner is at work from Run on.
type Runner struct {
	config    Config
	store     *batchstore.Store
	log       *slog.Logger
	client    pb.GenerationClient
	conn      *grpc.ClientConn
	tenants   map[string]int
	startedAt time.Time

	mu        sync.Mutex
	scheduler *batchscheduler.Scheduler
	active    map[string]*activeBatch // by the batch's name
	byID      map[batchscheduler.BatchID]*activeBatch
	lastID    batchscheduler.BatchID
	wake      chan struct{}
	wg        sync.WaitGroup
	counters  Counters
}

// Counters are what a runner counted since its start.
type Counters struct{ Sent, Served, Rejected, Retried, Failed uint64 }

// activeBatch is a batch under way.
type activeBatch struct {
	id             batchscheduler.BatchID
	record         batchstore.Batch
	class          string
	cancel         context.CancelFunc // of its lines
	ctx            context.Context
	runnerCtx      context.Context // of the runner: its end is no line's
	finalizing     bool
	expired        bool // its window is over, by the clock that does not jump
	unrecordedEnds int  // lines that the scheduler holds for over and that are not on disk yet
}

// New makes a runner.
func New(s *batchstore.Store, p Config, log *slog.Logger) (*Runner, error) {
	if len(p.Tenants) == 0 {
		p.Tenants = []Tenant{{Weight: 1}}
	}
	r := &Runner{
		config: p, store: s, log: log, tenants: map[string]int{}, active: map[string]*activeBatch{}, byID: map[batchscheduler.BatchID]*activeBatch{},
		wake: make(chan struct{}, 1), startedAt: time.Now(),
	}
	var weights []float64
	for i, t := range p.Tenants {
		r.tenants[t.Name] = i
		weights = append(weights, t.Weight)
	}
	chance := rand.New(rand.NewPCG(p.Seed, 0x6261746368))
	var err error
	if r.scheduler, err = batchscheduler.New(weights, int64(p.InitialBackoff), p.MaxLinesInFlight, chance.Float64); err != nil {
		return nil, err
	}
	if r.conn, err = grpc.NewClient(p.DispatcherAddress, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second})); err != nil {
		return nil, err
	}
	r.client = pb.NewGenerationClient(r.conn)
	return r, nil
}

func (r *Runner) now() int64 { return int64(time.Since(r.startedAt)) }

func (r *Runner) wakeLoop() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run carries on what the store has under way, and what Submit brings, until its context ends; then it waits for its
// lines, which end with it.
func (r *Runner) Run(ctx context.Context) error {
	open, err := r.store.UnfinishedBatches()
	if err != nil {
		return err
	}
	for _, b := range open {
		if err := r.resume(ctx, b); err != nil { // one that is damaged harms no other
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
			id, ok := r.scheduler.ExpireNext(now)
			if !ok {
				break
			}
			a := r.byID[id]
			r.log.Info("batch expired", "batch", a.record.ID)
			a.expired = true
			a.cancel()
		}
		for {
			id, n, ok := r.scheduler.NextLine(now)
			if !ok {
				break
			}
			a := r.byID[id]
			r.counters.Sent++
			r.wg.Add(1)
			go func() {
				defer r.wg.Done()
				r.sendLine(a, n)
			}()
		}
		for _, a := range r.byID {
			if rest, over := r.scheduler.UnsentLines(a.id); over && !a.finalizing && a.unrecordedEnds == 0 {
				a.finalizing = true
				r.wg.Add(1)
				go func() {
					defer r.wg.Done()
					r.finish(ctx, a, rest)
				}()
			}
		}
		at, some := r.scheduler.NextEventAt(now)
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
		if err := r.resume(ctx, b); err != nil {
			r.log.Error("batch not begun", "batch", b.ID, "err", err)
		}
	}()
}

// resume takes a batch up wherever it stands.
func (r *Runner) resume(ctx context.Context, b batchstore.Batch) (err error) {
	if b.State == batchscheduler.StateValidating {
		if b, err = r.validate(b); err != nil || b.State != batchscheduler.StateInProgress {
			return err
		}
	}
	tenant, ok := r.tenants[b.Tenant]
	if !ok {
		return fmt.Errorf("tenant %q is not there any more", b.Tenant)
	}
	a := &activeBatch{record: b, runnerCtx: ctx}
	var entries []batchscheduler.LineSpec
	var recovered []batchscheduler.LineIndex
	type end struct {
		n    batchscheduler.LineIndex
		l    batchstore.Line
		code string
		why  string
	}
	var ends []end
	track := Class{}
	if err := r.store.ForEachLine(b.ID, func(n batchscheduler.LineIndex, l batchstore.Line, rotten error) error {
		for int(n) > len(entries) { // a record is missing
			ends = append(ends, end{batchscheduler.LineIndex(len(entries)), batchstore.Line{}, "rotten", "its record is missing"})
			entries = append(entries, batchscheduler.LineSpec{State: batchscheduler.LineFailed})
		}
		if rotten != nil {
			ends = append(ends, end{n, l, "rotten", rotten.Error()})
			entries = append(entries, batchscheduler.LineSpec{State: batchscheduler.LineFailed})
			return nil
		}
		if a.class == "" {
			text, err := r.store.LineText(b.InputFileID, n, l)
			if req, e := parseLine(text); err == nil && e == nil {
				a.class = req.Body.Model
				track = r.config.Classes[a.class]
			}
		}
		at, mayHaveRun := batchscheduler.RecoverLine(l.State, track.Effect)
		if mayHaveRun {
			ends = append(ends, end{n, l, "may_have_run", string(batchscheduler.ReasonMayHaveRun)})
		} else if at != l.State {
			recovered = append(recovered, n)
		}
		entries = append(entries, batchscheduler.LineSpec{Cost: float64(l.Cost), PrefixGroup: l.PrefixGroup, State: at})
		return nil
	}); err != nil {
		return err
	}
	for _, e := range ends {
		if err := r.store.RecordResult(b.ID, e.n, batchstore.ResultFailed, encodeFailure(b.ID, e.n, e.l.CustomID, e.code, e.why)); err != nil {
			return err
		}
	}
	if len(recovered)+len(ends) > 0 {
		r.log.Info("batch carried on", "batch", b.ID, "lines_again", len(recovered), "lines_lost", len(ends))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastID++
	a.id = r.lastID
	left := time.Until(time.Unix(b.ExpiresUnix, 0))
	a.ctx, a.cancel = context.WithDeadline(ctx, time.Now().Add(left))
	if err := r.scheduler.AddBatch(batchscheduler.Batch{
		ID: a.id, Tenant: tenant, Effect: track.Effect, DeduplicationWindow: int64(track.DeduplicationWindow), Deadline: r.now() + int64(left),
		Lines: entries,
	}); err != nil {
		return err
	}
	r.active[b.ID], r.byID[a.id] = a, a
	if b.State == batchscheduler.StateCancelling || b.State == batchscheduler.StateFinalizing {
		r.scheduler.StopBatch(a.id)
	}
	r.wakeLoop()
	return nil
}

// lineRequest is a line as it is handed in.
type lineRequest struct {
	CustomID string `json:"custom_id"`
	Method   string `json:"method"`
	URL      string `json:"url"`
	Body     struct {
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
	defaultBytesPerToken = 4   // where a line names no length
	prefixGroupBytes     = 512 // of a prompt by which lines that begin alike are told
	maxTokens            = 1 << 20
	linesPerWrite        = 2000 // lines that are written at once
	outputTokenCost      = 8    // tokens read that a token written costs, as at the door
)

func parseLine(text []byte) (*lineRequest, error) {
	q := &lineRequest{}
	dec := json.NewDecoder(bytes.NewReader(text))
	if err := dec.Decode(q); err != nil {
		return nil, err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("more than one value in the line")
	}
	if q.Body.PromptTokens == 0 {
		q.Body.PromptTokens = max(len(q.Body.Prompt)/defaultBytesPerToken, 1)
	}
	return q, nil
}

// checkRequest says what is wrong with a request; an empty code says nothing is.
func (r *Runner) checkRequest(q *lineRequest, endpoint string) (code, why string) {
	switch t, known := r.config.Classes[q.Body.Model]; {
	case q.CustomID == "":
		return "missing_custom_id", "custom_id is missing"
	case q.Method != "POST":
		return "invalid_method", fmt.Sprintf("method %q, want POST", q.Method)
	case q.URL != endpoint:
		return "mismatched_url", fmt.Sprintf("url %q, want %q as the batch has it", q.URL, endpoint)
	case !known:
		return "model_not_found", fmt.Sprintf("model %q is not there", q.Body.Model)
	case t.Timeout <= 0:
		return "model_not_found", fmt.Sprintf("model %q takes no batches", q.Body.Model)
	case q.Body.MaxTokens < 1 || q.Body.MaxTokens > maxTokens:
		return "invalid_value", fmt.Sprintf("max_tokens %d, want 1 to %d", q.Body.MaxTokens, maxTokens)
	case q.Body.PromptTokens < 1 || q.Body.PromptTokens > maxTokens || q.Body.BeginningTokens < 0 || q.Body.BeginningTokens > q.Body.PromptTokens:
		return "invalid_value", "prompt_tokens or beginning_tokens out of their range"
	}
	return "", ""
}

const maxValidationErrors = 50 // told of one file

// validate reads a batch's file and writes its lines, or says what is wrong with it. Memory holds no text.
func (r *Runner) validate(b batchstore.Batch) (batchstore.Batch, error) {
	var faults []batchstore.ValidationError
	bad := func(line int, code, format string, args ...any) {
		if len(faults) < maxValidationErrors {
			faults = append(faults, batchstore.ValidationError{LineNumber: line, Code: code, Message: fmt.Sprintf(format, args...)})
		}
	}
	n, err := r.scan(b, bad)
	if err != nil {
		bad(0, "unreadable", "%v", err)
	}
	if n == 0 && len(faults) == 0 {
		bad(0, "empty_file", "the file has no lines")
	}
	to := batchscheduler.StateInProgress
	if len(faults) > 0 {
		to = batchscheduler.StateFailed
	}
	return r.store.TransitionBatch(b.ID, to, func(b *batchstore.Batch) {
		b.TotalLines, b.ValidationErrors = n, faults
		if to == batchscheduler.StateFailed {
			b.EndedUnix = time.Now().Unix()
		} else {
			b.InProgressUnix = time.Now().Unix()
		}
	})
}

func (r *Runner) scan(b batchstore.Batch, bad func(line int, code, format string, args ...any)) (int, error) {
	f, err := r.store.OpenInput(b.InputFileID)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	in := bufio.NewReaderSize(f, 64<<10)
	var chunk []batchstore.Line
	seen := map[uint64]bool{} // hashes of names: of a hundred thousand two fall together once in billions of files
	model, n, offset := "", 0, int64(0)
	flush := func() error {
		err := r.store.AddLines(b.ID, batchscheduler.LineIndex(n-len(chunk)), chunk)
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
			if long = long || len(text)+len(part) > r.config.MaxLineBytes+1; !long {
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
			bad(no, "line_too_long", "more than %d bytes", r.config.MaxLineBytes)
		case len(bytes.TrimSpace(line)) == 0:
		case n == r.config.MaxLines:
			bad(no, "too_many_lines", "more than %d lines", r.config.MaxLines)
			return n, nil
		default:
			q, perr := parseLine(line)
			if perr != nil {
				bad(no, "invalid_json_line", "%v", perr)
				break
			}
			if code, why := r.checkRequest(q, b.Endpoint); code != "" {
				bad(no, code, "%s", why)
				break
			}
			h := xxhash.Sum64String(q.CustomID)
			if seen[h] {
				bad(no, "duplicate_custom_id", "custom_id %q stands twice", q.CustomID)
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
			} else if len(q.Body.Prompt) > prefixGroupBytes {
				group = max(xxhash.Sum64String(q.Body.Prompt[:prefixGroupBytes]), 1)
			}
			chunk = append(chunk, batchstore.Line{
				Offset: at, Length: int32(len(line)), Checksum: crc32.ChecksumIEEE(line), PrefixGroup: group,
				Cost: float32(q.Body.PromptTokens + outputTokenCost*q.Body.MaxTokens/2), CustomID: q.CustomID,
			})
			n++
			if len(chunk) >= linesPerWrite {
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
	b, err := r.store.Batch(tenant, id)
	if err != nil {
		return b, err
	}
	if b.State == batchscheduler.StateCancelling || b.State == batchscheduler.StateCancelled {
		return b, nil
	}
	if b, err = r.store.TransitionBatch(id, batchscheduler.StateCancelling, func(b *batchstore.Batch) { b.CancellingUnix = time.Now().Unix() }); err != nil {
		return b, err
	}
	r.mu.Lock()
	if a := r.active[id]; a != nil {
		a.record.State = batchscheduler.StateCancelling
		r.scheduler.StopBatch(a.id)
		a.cancel()
	}
	r.mu.Unlock()
	r.wakeLoop()
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
	at, ok := r.scheduler.Forecast(r.now(), a.id)
	return r.startedAt.Add(time.Duration(at)), ok
}

// sendLine sends one line's job and keeps what comes of it.
func (r *Runner) sendLine(a *activeBatch, n batchscheduler.LineIndex) {
	l, err := r.store.Line(a.record.ID, n)
	var text []byte
	var q *lineRequest
	if err == nil {
		if text, err = r.store.LineText(a.record.InputFileID, n, l); err == nil {
			q, err = parseLine(text)
		}
	}
	if err != nil { // it has rotted: this line is lost, with its name
		r.lineEnded(a, n, l, batchscheduler.OutcomeInvalid, 0, "rotten", err.Error(), nil)
		return
	}
	track := r.config.Classes[q.Body.Model]
	if track.Effect != batchscheduler.Idempotent { // before it goes out it is on disk that it may
		if err := r.store.SetLineState(a.record.ID, n, batchscheduler.LineInFlight); err != nil {
			r.log.Error("line not sent", "batch", a.record.ID, "line", n+1, "err", err)
			r.lineEnded(a, n, l, batchscheduler.OutcomeRejected, int64(time.Second), "", "", nil)
			return
		}
	}
	deadline, _ := a.ctx.Deadline()
	ctx := metadata.AppendToOutgoingContext(a.ctx, "docksail-background", "1")
	req := &pb.GenerateRequest{
		Track: q.Body.Model, Tenant: a.record.Tenant, PromptTokens: uint32(q.Body.PromptTokens), MaxTokens: uint32(q.Body.MaxTokens),
		Beginning: q.Body.Beginning, BeginningTokens: uint32(q.Body.BeginningTokens), Client: q.Body.User, Prompt: []byte(q.Body.Prompt),
		Label: a.record.ID + "/" + q.CustomID, PatienceNs: uint64(min(track.Timeout, max(time.Until(deadline), time.Millisecond))),
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
		r.lineEnded(a, n, l, batchscheduler.OutcomeServed, 0, "", "", encodeResult(a.record.ID, n, q, job, answer.String(), tokens))
		return
	}
	var push []string
	if stream != nil {
		push = stream.Trailer().Get("grpc-retry-pushback-ms")
	}
	switch st := status.Convert(err); {
	case a.ctx.Err() != nil && len(push) == 0: // called back: by a cancel, the window's end, or our own
		r.lineEnded(a, n, l, batchscheduler.OutcomeConnectionLost, 0, "called_back", "called back while it was out", nil)
	case (st.Code() == codes.Unavailable || st.Code() == codes.ResourceExhausted) && len(push) > 0:
		ms, _ := strconv.ParseInt(push[0], 10, 64)
		r.lineEnded(a, n, l, batchscheduler.OutcomeRejected, max(ms, 0)*1e6, "", st.Message(), nil)
	case st.Code() == codes.Aborted:
		r.lineEnded(a, n, l, batchscheduler.OutcomeFailed, 0, "abandoned", st.Message(), nil)
	case st.Code() == codes.InvalidArgument:
		r.lineEnded(a, n, l, batchscheduler.OutcomeInvalid, 0, "invalid_request", st.Message(), nil)
	default:
		r.lineEnded(a, n, l, batchscheduler.OutcomeConnectionLost, 0, "connection_lost", st.Message(), nil)
	}
}

// lineEnded has the scheduler judge how a line ended, and keeps it if it is over. The result is on disk before the line
// counts as over.
func (r *Runner) lineEnded(a *activeBatch, n batchscheduler.LineIndex, l batchstore.Line, how batchscheduler.Outcome, after int64, code, why string, text []byte) {
	if how == batchscheduler.OutcomeServed {
		if err := r.store.RecordResult(a.record.ID, n, batchstore.ResultCompleted, text); err != nil {
			r.log.Error("result not kept", "batch", a.record.ID, "line", n+1, "err", err)
			how = batchscheduler.OutcomeConnectionLost // a redoable line is done anew; any other says that it may have run
			code, why = "result_not_kept", err.Error()
		}
	}
	r.mu.Lock()
	verdict, reason := r.scheduler.ReportOutcome(r.now(), a.id, n, how, after)
	switch {
	case how == batchscheduler.OutcomeServed:
		r.counters.Served++
	case how == batchscheduler.OutcomeRejected:
		r.counters.Rejected++
	}
	switch verdict {
	case batchscheduler.VerdictRetry:
		r.counters.Retried++
	case batchscheduler.VerdictFailed:
		r.counters.Failed++
	}
	a.unrecordedEnds++
	cancelled := a.record.State == batchscheduler.StateCancelling
	stopping := a.runnerCtx.Err() != nil && !cancelled && !a.expired
	r.mu.Unlock()
	switch {
	case verdict == batchscheduler.VerdictFailed && stopping: // the process ends: the next one takes it up by what is on disk
	case verdict == batchscheduler.VerdictFailed:
		if reason == batchscheduler.ReasonMayHaveRun || reason == batchscheduler.ReasonDeduplicationExpired {
			code = "may_have_run"
		} else if cancelled {
			code, reason = "batch_cancelled", batchscheduler.ReasonCancelled
		} else if reason == batchscheduler.ReasonWindowExpired {
			code = "batch_expired"
		}
		if why != "" {
			reason += batchscheduler.FailureReason(": " + why)
		}
		if err := r.store.RecordResult(a.record.ID, n, batchstore.ResultFailed, encodeFailure(a.record.ID, n, l.CustomID, code, string(reason))); err != nil {
			r.log.Error("end not kept", "batch", a.record.ID, "line", n+1, "err", err)
		}
	case verdict == batchscheduler.VerdictRetry && how == batchscheduler.OutcomeRejected && l.State != batchscheduler.LineWaiting:
		if err := r.store.SetLineState(a.record.ID, n, batchscheduler.LineWaiting); err != nil {
			r.log.Error("line not marked", "batch", a.record.ID, "line", n+1, "err", err)
		}
	}
	r.mu.Lock()
	a.unrecordedEnds--
	r.mu.Unlock()
	r.wakeLoop()
}

const finalizeRetryInterval = 2 * time.Second // a disk that was full may have room then

// finish gives up the rest of a batch, if there is any, and writes its files.
func (r *Runner) finish(ctx context.Context, a *activeBatch, rest []batchscheduler.LineIndex) {
	r.mu.Lock()
	state, expired := a.record.State, a.expired
	r.mu.Unlock()
	final, code, why := batchscheduler.StateCompleted, "", ""
	switch {
	case state == batchscheduler.StateCancelling:
		final, code, why = batchscheduler.StateCancelled, "batch_cancelled", string(batchscheduler.ReasonCancelled)
	case len(rest) > 0 || expired:
		final, code, why = batchscheduler.StateExpired, "batch_expired", string(batchscheduler.ReasonWindowExpired)
	}
	if ctx.Err() != nil {
		return
	}
	for {
		err := r.finalize(a, rest, final, code, why)
		if err == nil {
			r.log.Info("batch over", "batch", a.record.ID, "state", final.String())
			break
		}
		r.log.Error("batch not finalized yet", "batch", a.record.ID, "err", err)
		select {
		case <-time.After(finalizeRetryInterval):
		case <-ctx.Done():
			return
		}
	}
	r.mu.Lock()
	a.cancel()
	r.scheduler.RemoveBatch(a.id)
	delete(r.active, a.record.ID)
	delete(r.byID, a.id)
	r.mu.Unlock()
}

func (r *Runner) finalize(a *activeBatch, rest []batchscheduler.LineIndex, final batchscheduler.BatchState, code, why string) error {
	if err := r.store.FailLines(a.record.ID, rest, func(n batchscheduler.LineIndex, l batchstore.Line) []byte {
		return encodeFailure(a.record.ID, n, l.CustomID, code, why)
	}); err != nil {
		return err
	}
	b, err := r.store.Batch(a.record.Tenant, a.record.ID)
	if err != nil {
		return err
	}
	if b.State != batchscheduler.StateFinalizing {
		if b, err = r.store.TransitionBatch(b.ID, batchscheduler.StateFinalizing, func(b *batchstore.Batch) { b.FinalState, b.FinalizingUnix = final, time.Now().Unix() }); err != nil {
			return err
		}
	}
	_, err = r.store.FinalizeBatch(time.Now(), b)
	return err
}

func lineID(id string, n batchscheduler.LineIndex) string {
	return fmt.Sprintf("batch_req_%s_%d", strings.TrimPrefix(id, "batch_"), n+1)
}

type resultLine struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *resultResponse `json:"response"`
	Error    *resultError    `json:"error"`
}

type resultResponse struct {
	Status    int            `json:"status_code"`
	RequestID string         `json:"request_id"`
	Body      map[string]any `json:"body"`
}

type resultError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func encodeResult(id string, n batchscheduler.LineIndex, q *lineRequest, job, answer string, tokens int) []byte {
	b, err := json.Marshal(resultLine{ID: lineID(id, n), CustomID: q.CustomID, Response: &resultResponse{Status: 200, RequestID: job, Body: map[string]any{
		"id": "cmpl-" + job, "object": "text_completion", "model": q.Body.Model,
		"choices": []any{map[string]any{"index": 0, "text": answer, "finish_reason": "stop", "logprobs": nil}},
		"usage":   map[string]any{"prompt_tokens": q.Body.PromptTokens, "completion_tokens": tokens, "total_tokens": q.Body.PromptTokens + tokens},
	}}})
	if err != nil {
		panic(err) // made of texts and numbers
	}
	return b
}

func encodeFailure(id string, n batchscheduler.LineIndex, custom, code, why string) []byte {
	b, err := json.Marshal(resultLine{ID: lineID(id, n), CustomID: custom, Error: &resultError{code, why}})
	if err != nil {
		panic(err)
	}
	return b
}
