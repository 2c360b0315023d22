package batchrunner

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/prototext"

	pb "docksail/api/docksail/v1"
	"docksail/internal/bootclock"
	"docksail/internal/decide/batchscheduler"
	"docksail/internal/state/batchstore"
)

// outcomesFile has the validation errors, requests and results of commit 61b72d4 for the batches of TestOutcomes, which
// rewrites the file if DOCKSAIL_WRITE_OUTCOMES is set.
const outcomesFile = "testdata/outcomes-61b72d4.txt"

// fakeDispatcher answers a request by the first word of its prompt and records what it received.
type fakeDispatcher struct {
	pb.UnimplementedGenerationServer
	mu       sync.Mutex
	received []string
	attempts map[string]int             // by label
	timeouts map[string][]time.Duration // of the attempts, by label
}

func (d *fakeDispatcher) Generate(r *pb.GenerateRequest, stream grpc.ServerStreamingServer[pb.Tokens]) error {
	d.mu.Lock()
	d.attempts[r.Label]++
	attempt := d.attempts[r.Label]
	d.timeouts[r.Label] = append(d.timeouts[r.Label], time.Duration(r.PatienceNs))
	recorded := &pb.GenerateRequest{
		Track: r.Track, Tenant: r.Tenant, Session: r.Session, Beginning: r.Beginning, PromptTokens: r.PromptTokens,
		BeginningTokens: r.BeginningTokens, MaxTokens: r.MaxTokens, Label: r.Label, LengthHintNs: r.LengthHintNs,
		Prompt: r.Prompt, Client: r.Client,
	}
	text := prototext.MarshalOptions{}.Format(recorded)
	md, _ := metadata.FromIncomingContext(stream.Context())
	d.received = append(d.received, fmt.Sprintf("%s background=%v timeout<=2s=%v",
		strings.ReplaceAll(text, "  ", " "), md.Get("docksail-background"), r.PatienceNs <= 2e9 && r.PatienceNs > 1e9))
	d.mu.Unlock()
	pushback := func(ms string) { stream.SetTrailer(metadata.Pairs("grpc-retry-pushback-ms", ms)) }
	switch behaviour, _, _ := strings.Cut(string(r.Prompt), " "); {
	case behaviour == "rejected" && attempt == 1:
		pushback("10")
		return status.Error(codes.Unavailable, "over capacity")
	case behaviour == "exhausted" && attempt == 1:
		pushback("0")
		return status.Error(codes.ResourceExhausted, "over quota")
	case behaviour == "later":
		pushback("3600000")
		return status.Error(codes.Unavailable, "over capacity for an hour")
	case behaviour == "failed":
		pushback("-1")
		return status.Error(codes.Aborted, "no server answered")
	case behaviour == "invalid":
		return status.Error(codes.InvalidArgument, "prompt too long")
	case behaviour == "lost" || behaviour == "lost," && attempt == 1:
		return status.Error(codes.Unavailable, "connection reset")
	case behaviour == "hangs" && (attempt == 1 || !strings.HasSuffix(string(r.Prompt), "once")) || behaviour == "lost,":
		<-stream.Context().Done()
		return stream.Context().Err()
	}
	if err := stream.SendHeader(metadata.Pairs("docksail-job", "17")); err != nil {
		return err
	}
	for i := range 2 {
		if err := stream.Send(&pb.Tokens{Tokens: []uint32{1, 2}, Text: fmt.Appendf(nil, "größe %d ", i)}); err != nil {
			return err
		}
	}
	return nil
}

// attemptCount returns how many requests with a label were received.
func (d *fakeDispatcher) attemptCount(label string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.attempts[label]
}

// waitForAttempt waits until a request with a label was received.
func (d *fakeDispatcher) waitForAttempt(t *testing.T, label string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); d.attemptCount(label) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("no request with the label %s in 10 s", label)
		}
	}
}

// testClock is the boot clock of a process.
type testClock struct {
	bootID string
	offset time.Duration // from the system's clock
}

func (c testClock) now() bootclock.Instant {
	return bootclock.Instant{BootID: c.bootID, SinceBoot: bootclock.Now().SinceBoot + c.offset}
}

// fixture is a store, a runner over it and the dispatcher that the runner sends to.
type fixture struct {
	t          *testing.T
	store      *batchstore.Store
	runner     *Runner
	dispatcher *fakeDispatcher
	gate       *gatedListener
	ctx        context.Context // ends with the runner
	run        func()          // starts the runner; may be called once
	stop       func()
}

// newFixture starts a runner over the store of a directory.
func newFixture(t *testing.T, dir string) *fixture {
	t.Helper()
	f := newIdleFixture(t, dir)
	f.run()
	return f
}

// newIdleFixture returns a fixture whose runner has not been started.
func newIdleFixture(t *testing.T, dir string) *fixture {
	t.Helper()
	return newConfiguredFixture(t, dir, func(*Config) {})
}

// newConfiguredFixture returns a fixture with a changed configuration, whose runner has not been started.
func newConfiguredFixture(t *testing.T, dir string, change func(*Config)) *fixture {
	t.Helper()
	store, err := batchstore.Open(dir, 0)
	if err != nil {
		t.Fatal(err)
	}
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &gatedListener{Listener: tcp}
	dispatcher := &fakeDispatcher{attempts: map[string]int{}, timeouts: map[string][]time.Duration{}}
	server := grpc.NewServer()
	pb.RegisterGenerationServer(server, dispatcher)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	config := Config{
		Tenants: []Tenant{{Name: "a", Weight: 1}}, DispatcherAddress: listener.Addr().String(),
		Classes: map[string]Class{
			"draft":    {Idempotency: batchscheduler.Idempotent, Timeout: 2 * time.Second},
			"book":     {Idempotency: batchscheduler.NonIdempotent, Timeout: 2 * time.Second},
			"labelled": {Idempotency: batchscheduler.Deduplicated, DeduplicationWindow: time.Minute, Timeout: 2 * time.Second},
			"brief":    {Idempotency: batchscheduler.Deduplicated, DeduplicationWindow: time.Second, Timeout: 2 * time.Second},
			"online":   {},
		},
		MaxLinesInFlight: 8, InitialBackoff: 2 * time.Millisecond, MaxLines: 20, MaxLineBytes: 1000, Seed: 1,
		BootClock: testClock{bootID: "boot"}.now,
	}
	change(&config)
	runner, err := New(store, config, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	run := func() { go func() { ended <- runner.Run(ctx) }() }
	stop := sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		server.Stop()
		if err := <-served; err != nil {
			t.Error(err)
		}
		if err := store.Close(); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(stop)
	return &fixture{t, store, runner, dispatcher, listener, ctx, run, stop}
}

// submit uploads an input file, creates a batch for it and submits the batch.
func (f *fixture) submit(text string, window time.Duration) batchstore.Batch {
	f.t.Helper()
	file, err := f.store.UploadFile(time.Now(), "a", "lines.jsonl", "batch", strings.NewReader(text), 1<<20)
	if err != nil {
		f.t.Fatal(err)
	}
	b, err := f.store.CreateBatch(time.Now(), batchstore.Batch{
		Tenant: "a", InputFileID: file.ID, Endpoint: "/v1/completions", CompletionWindow: window.String(),
	}, window)
	if err != nil {
		f.t.Fatal(err)
	}
	f.runner.Submit(f.ctx, b)
	return b
}

// waitFor waits until a batch satisfies a condition and returns it.
func (f *fixture) waitFor(id string, condition func(b batchstore.Batch) bool) batchstore.Batch {
	f.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(2 * time.Millisecond) {
		b, err := f.store.Batch("a", id)
		if err != nil {
			f.t.Fatal(err)
		}
		if condition(b) {
			return b
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("after 10 s the batch is %+v", b)
		}
	}
}

// waitForLine waits until a line of a batch is stored in a state.
func (f *fixture) waitForLine(id string, index batchscheduler.LineIndex, state batchscheduler.LineState) {
	f.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(2 * time.Millisecond) {
		line, err := f.store.Line(id, index)
		if err != nil {
			f.t.Fatal(err)
		}
		if line.State == state {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("after 10 s line %d is %v on disk, want %v", index, line.State, state)
		}
	}
}

func isTerminal(b batchstore.Batch) bool { return b.State.IsTerminal() }

// describe returns a batch's state, counts, validation errors and files and the received requests as text, with IDs
// replaced.
func (f *fixture) describe(b batchstore.Batch) string {
	f.t.Helper()
	var text strings.Builder
	fmt.Fprintf(&text, "%v: %d of %d completed, %d failed\n", b.State, b.CompletedLines, b.TotalLines, b.FailedLines)
	for _, e := range b.ValidationErrors {
		fmt.Fprintf(&text, "line %d: %s: %s\n", e.LineNumber, e.Code, e.Message)
	}
	for _, id := range []string{b.OutputFileID, b.ErrorFileID} {
		if id == "" {
			continue
		}
		content, err := f.store.OpenContent("a", id)
		if err != nil {
			f.t.Fatal(err)
		}
		lines, err := io.ReadAll(content)
		if err != nil {
			f.t.Fatal(err)
		}
		content.Close()
		text.Write(lines)
	}
	f.dispatcher.mu.Lock()
	received := slices.Sorted(slices.Values(f.dispatcher.received))
	f.dispatcher.received = nil
	f.dispatcher.mu.Unlock()
	text.WriteString(strings.Join(received, "\n"))
	return regexp.MustCompile(`[0-9a-f]{24}`).ReplaceAllString(text.String(), "ID")
}

// line returns a line of an input file. extraFields is appended to the fields of its body.
func line(id, model, prompt, extraFields string) string {
	return fmt.Sprintf(`{"custom_id":%q,"method":"POST","url":"/v1/completions",`+
		`"body":{"model":%q,"prompt":%q,"max_tokens":6%s}}`+"\n", id, model, prompt, extraFields)
}

// TestOutcomes checks validation errors, the requests that the dispatcher receives, and result files against those of
// commit 61b72d4.
func TestOutcomes(t *testing.T) {
	f := newFixture(t, t.TempDir())
	sixLines := func(model string) string {
		return line("one", model, "served", "") +
			line("two", model, "rejected at first", `,"prompt_tokens":60,"user":"u1"`) +
			line("three", model, "exhausted at first", `,"beginning":"plan","beginning_tokens":2`) +
			line("four", model, "failed", "") + line("five", model, "invalid", "") + line("six", model, "lost", "")
	}
	good := line("one", "draft", "served", "")
	var tooMany strings.Builder
	for i := range 21 {
		tooMany.WriteString(line(fmt.Sprint(i), "draft", "served", ""))
	}
	var got strings.Builder
	for _, c := range []struct{ name, text string }{
		{"idempotent", sixLines("draft")},
		{"deduplicated", sixLines("labelled")},
		{"non-idempotent", sixLines("book")},
		{
			"blank lines, no newline at the end",
			"\n" + good + " \r\n" + strings.TrimSuffix(line("two", "draft", "served", ""), "\n"),
		},
		{"no file", ""},
		{"only blank lines", "\n\n"},
		{"no JSON", good + "{oh\n"},
		{"two values", good + "{} {}\n"},
		{"no custom_id", line("", "draft", "served", "")},
		{"custom_id twice", good + good},
		{"method", strings.Replace(good, "POST", "GET", 1)},
		{"url", strings.Replace(good, "/v1/completions", "/v1/chat", 1)},
		{"unknown model", line("one", "none", "served", "")},
		{"model without batches", line("one", "online", "served", "")},
		{"second model", good + line("two", "book", "served", "")},
		{"max_tokens", strings.Replace(good, `"max_tokens":6`, `"max_tokens":0`, 1)},
		{"prompt_tokens", line("one", "draft", "served", `,"prompt_tokens":-1`)},
		{"beginning_tokens", line("one", "draft", "served", `,"prompt_tokens":2,"beginning_tokens":3`)},
		{"too long", good + line("two", "draft", strings.Repeat("x", 1000), "") + "{oh\n"},
		{"too many", strings.Repeat("{oh\n", 60)},
		{"too many lines", tooMany.String()},
	} {
		b := f.submit(c.text, time.Hour)
		fmt.Fprintf(&got, "%s\n%s\n\n", c.name, f.describe(f.waitFor(b.ID, isTerminal)))
	}

	b := f.submit(line("one", "draft", "served", "")+line("two", "draft", "hangs", ""), time.Hour)
	f.waitFor(b.ID, func(b batchstore.Batch) bool { return b.CompletedLines == 1 })
	f.dispatcher.waitForAttempt(t, b.ID+"/two")
	if _, err := f.runner.Cancel("a", b.ID); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&got, "%s\n%s\n\n", "cancelled", f.describe(f.waitFor(b.ID, isTerminal)))
	b = f.submit(line("one", "draft", "served", "")+line("two", "draft", "later", ""), 3*time.Second)
	fmt.Fprintf(&got, "%s\n%s\n\n", "expired", f.describe(f.waitFor(b.ID, isTerminal)))

	if os.Getenv("DOCKSAIL_WRITE_OUTCOMES") != "" {
		if err := os.WriteFile(outcomesFile, []byte(got.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	content, err := os.ReadFile(outcomesFile)
	if err != nil {
		t.Fatal(err)
	}
	gotBatches, wantBatches := strings.Split(got.String(), "\n\n"), strings.Split(string(content), "\n\n")
	if len(gotBatches) != len(wantBatches) {
		t.Fatalf("%d batches, want %d as in %s", len(gotBatches), len(wantBatches), outcomesFile)
	}
	for i := range wantBatches {
		if gotBatches[i] != wantBatches[i] {
			t.Errorf("%s\nwant\n%s", gotBatches[i], wantBatches[i])
		}
	}
}

// TestSubmitBeforeRun checks that a batch submitted before Run reads the unfinished batches, and so is among them, runs
// only once.
func TestSubmitBeforeRun(t *testing.T) {
	f := newIdleFixture(t, t.TempDir())
	b := f.submit(line("one", "book", "served", "")+line("two", "book", "served", ""), time.Hour)
	f.run()
	if ended := f.waitFor(b.ID, isTerminal); ended.CompletedLines != 2 {
		t.Errorf("%d lines completed, want 2", ended.CompletedLines)
	}
	f.stop()
	for _, id := range []string{"/one", "/two"} {
		if n := f.dispatcher.attemptCount(b.ID + id); n != 1 {
			t.Errorf("line %s was sent %d times, want once", id, n)
		}
	}
}

// TestRepeatEndsWithWindow guards against a repeat that the dispatcher may begin after the deduplication window.
func TestRepeatEndsWithWindow(t *testing.T) {
	f := newFixture(t, t.TempDir())
	b := f.submit(line("one", "brief", "lost", ""), time.Hour)
	f.waitFor(b.ID, isTerminal)
	f.dispatcher.mu.Lock()
	defer f.dispatcher.mu.Unlock()
	timeouts := f.dispatcher.timeouts[b.ID+"/one"]
	if len(timeouts) < 2 {
		t.Fatalf("the line was sent %d times, want a repeat", len(timeouts))
	}
	for i, timeout := range timeouts[1:] {
		if timeout > time.Second {
			t.Errorf("repeat %d may begin for %v, want at most the window of 1 s", i+1, timeout)
		}
	}
}

// TestRejectedLineIsResumed guards against a line that is reported as one that may have run after a restart, although
// its only attempt was rejected.
func TestRejectedLineIsResumed(t *testing.T) {
	for _, model := range []string{"book", "labelled"} {
		t.Run(model, func(t *testing.T) {
			dir := t.TempDir()
			f := newFixture(t, dir)
			b := f.submit(line("one", model, "later", ""), time.Hour)
			f.dispatcher.waitForAttempt(t, b.ID+"/one")
			f.waitForLine(b.ID, 0, batchscheduler.LineWaiting)
			f.stop()

			next := newFixture(t, dir)
			next.dispatcher.waitForAttempt(t, b.ID+"/one")
			if b = next.waitFor(b.ID, func(batchstore.Batch) bool { return true }); b.FailedLines != 0 {
				t.Error("the line has failed, want it waiting")
			}
		})
	}
}

// TestResumeAfterWindow guards against a deduplicated line that was in flight when its process ended and is sent again
// although its window is over, or may be.
func TestResumeAfterWindow(t *testing.T) {
	for _, c := range []struct {
		name   string
		next   testClock
		isSent bool
	}{
		{"within the window", testClock{bootID: "boot"}, true},
		{"after the window", testClock{bootID: "boot", offset: time.Minute}, false},
		{"booted in between", testClock{bootID: "other"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			f := newFixture(t, dir)
			b := f.submit(line("one", "labelled", "hangs", ""), time.Hour)
			f.dispatcher.waitForAttempt(t, b.ID+"/one")
			f.stop()

			next := newConfiguredFixture(t, dir, func(config *Config) { config.BootClock = c.next.now })
			next.run()
			if c.isSent {
				next.dispatcher.waitForAttempt(t, b.ID+"/one")
				return
			}
			text := next.describe(next.waitFor(b.ID, isTerminal))
			if !strings.Contains(text, `"code":"may_have_run"`) || next.dispatcher.attemptCount(b.ID+"/one") > 0 {
				t.Errorf("want the line failed as may_have_run and not sent: %s", text)
			}
		})
	}
}

// TestResumeWithOtherClass guards against a line that may have run and is sent again after a restart because its class
// has left the settings, or because its effect was changed meanwhile.
func TestResumeWithOtherClass(t *testing.T) {
	idempotent := Class{Idempotency: batchscheduler.Idempotent, Timeout: 2 * time.Second}
	book := Class{Idempotency: batchscheduler.NonIdempotent, Timeout: 2 * time.Second}
	for _, c := range []struct {
		name, model string
		next        map[string]Class
	}{
		{"non-idempotent class removed", "book", nil},
		{"deduplicated class removed", "labelled", nil},
		{"non-idempotent class made idempotent", "book", map[string]Class{"book": idempotent}},
		{"idempotent class made non-idempotent", "draft", map[string]Class{"draft": book}},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			f := newFixture(t, dir)
			b := f.submit(line("one", c.model, "hangs", ""), time.Hour)
			f.dispatcher.waitForAttempt(t, b.ID+"/one")
			f.stop()

			next := newConfiguredFixture(t, dir, func(config *Config) { config.Classes = c.next })
			next.run()
			text := next.describe(next.waitFor(b.ID, isTerminal))
			if !strings.Contains(text, `"code":"may_have_run"`) || next.dispatcher.attemptCount(b.ID+"/one") > 0 {
				t.Errorf("want the line failed as may_have_run and not sent: %s", text)
			}
		})
	}
}

// TestResumeCountsAttempts guards against a count of the attempts that may have run that begins anew in each process.
// In each process the first attempt is lost and the second one hangs until the process ends.
func TestResumeCountsAttempts(t *testing.T) {
	for _, c := range []struct {
		model     string
		processes int // until the line has had four attempts that may have run
	}{
		{"draft", 4}, // of an idempotent line those are not counted that a stop ends
		{"labelled", 3},
	} {
		t.Run(c.model, func(t *testing.T) {
			dir := t.TempDir()
			f := newFixture(t, dir)
			b := f.submit(line("one", c.model, "lost, then hangs", ""), time.Hour)
			for range c.processes - 1 {
				f.waitFor(b.ID, func(b batchstore.Batch) bool {
					return isTerminal(b) || f.dispatcher.attemptCount(b.ID+"/one") == 2
				})
				f.stop()
				f = newFixture(t, dir)
			}
			text := f.describe(f.waitFor(b.ID, isTerminal))
			if !strings.Contains(text, string(batchscheduler.ReasonTooManyAttempts)) {
				t.Errorf("want the line failed after four attempts: %s", text)
			}
		})
	}
}

// TestResume checks that a batch in progress when its runner stopped is resumed by the next runner: an idempotent line
// is sent again, and a non-idempotent line that may have run fails.
func TestResume(t *testing.T) {
	for _, c := range []struct {
		model             string
		completed, failed int
	}{{"draft", 2, 0}, {"book", 1, 1}} {
		t.Run(c.model, func(t *testing.T) {
			dir := t.TempDir()
			f := newFixture(t, dir)
			b := f.submit(line("one", c.model, "served", "")+line("two", c.model, "hangs", ""), time.Hour)
			f.waitFor(b.ID, func(b batchstore.Batch) bool { return b.CompletedLines == 1 })
			f.dispatcher.waitForAttempt(t, b.ID+"/two")
			f.stop()

			next := newFixture(t, dir)
			if c.completed == 2 {
				next.dispatcher.waitForAttempt(t, b.ID+"/two")
				if next.dispatcher.attemptCount(b.ID+"/one") != 0 {
					t.Error("a completed line was sent again")
				}
				return
			}
			b = next.waitFor(b.ID, isTerminal)
			if b.CompletedLines != c.completed || b.FailedLines != c.failed || len(next.dispatcher.attempts) != 0 {
				t.Errorf("%d completed, %d failed, sent again %v; want %d, %d and none",
					b.CompletedLines, b.FailedLines, next.dispatcher.attempts, c.completed, c.failed)
			}
			if text := next.describe(b); !strings.Contains(text, `"code":"may_have_run"`) {
				t.Errorf("want the code may_have_run in %s", text)
			}
		})
	}
}
