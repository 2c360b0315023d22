// Package benchmark puts a dispatcher, the plain relay and no relay at all side by side, each in a process of its own
// before the same stand-in engines, and reads their CPU time and memory from outside. Its figures are of stand-ins
// on loopback: only their ratios within one run say something.
package benchmark

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/net/http2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/baselinerelay"
	"docksail/internal/lab/discoveryserver"
	"docksail/internal/lab/engine"
)

// Config is what is measured.
type Config struct {
	Streams         []int         // at once, one pass for each
	TokenInterval   time.Duration // between tokens
	Tokens          int           // of an answer
	Duration        time.Duration // of each pass
	IdleConns       int           // idle connections for the memory figure
	WaitingRequests int           // jobs that wait
	Program          string        // this program
	Output        io.Writer
}

// Addresses is the engines' process's word on where it serves.
type Addresses struct {
	Discovery                     string
	PrefillServers, DecodeServers []string
}

// RunEngines runs stand-in engines and a lister until its input ends; it says where on out.
func RunEngines(gap time.Duration, in io.Reader, out io.Writer) error {
	l := discoveryserver.New(0, 0, nil)
	if err := l.Start("127.0.0.1:0"); err != nil {
		return err
	}
	f := Addresses{Discovery: l.Addr()}
	const readers, hosts = 8, 48 // as many answers at a writer as they have slots for in earnest: some hundred
	for i := range hosts {
		s := engine.Spec{
			ID: i + 1, Role: pb.Role_ROLE_READER, Zone: "a", Cell: "a1", Slots: 20000, Queue: 20000, MemoryTokens: 1 << 40,
			PrefillRate: 1e9, TokenGap: gap, RequestsPerSecond: 1e6, InitialCapacity: 1, TransferRate: 1e9, MaxHoldTime: time.Minute,
		}
		if i >= readers {
			s.Role, s.Slots = pb.Role_ROLE_WRITER, 1<<30
		}
		e := engine.New(s, steady{gap}, nil)
		if err := e.Start("127.0.0.1:0"); err != nil {
			return err
		}
		l.Set(&pb.Host{Id: uint32(s.ID), Address: e.Addr(), Role: s.Role, Zone: "a", Cell: "a1", Health: pb.Health_HEALTH_SERVING}, true)
		if i < readers {
			f.PrefillServers = append(f.PrefillServers, e.Addr())
		} else {
			f.DecodeServers = append(f.DecodeServers, e.Addr())
		}
	}
	if err := json.NewEncoder(out).Encode(f); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, in)
	return err
}

// endless is a prompt of so many tokens that its read never ends.
const endless = 1 << 20

// steady is a model whose figures do not change with load.
type steady struct{ gap time.Duration }

func (m steady) PrefillTime(_ *engine.Spec, unread int64, _ float64) time.Duration {
	if unread >= endless {
		return time.Hour
	}
	return time.Millisecond / 10
}
func (m steady) TokenInterval(*engine.Spec, int, float64) time.Duration { return m.gap }
func (m steady) TransferTime(*engine.Spec, int64, bool) time.Duration   { return 0 }

// RunBaselineRelay runs the plain relay until its input ends; it says where on out.
func RunBaselineRelay(f Addresses, in io.Reader, out io.Writer) error {
	r, err := baselinerelay.Start("127.0.0.1:0", f.PrefillServers, f.DecodeServers)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, r.Addr)
	_, err = io.Copy(io.Discard, in)
	return err
}

// child is a process of this program.
type child struct {
	cmd *exec.Cmd
	in  io.WriteCloser
	out *json.Decoder
	raw io.Reader
}

func start(binary string, args ...string) (*child, error) {
	cmd := exec.Command(binary, args...)
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = io.Discard
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	return &child{cmd: cmd, in: in, out: json.NewDecoder(out), raw: out}, nil
}

func (c *child) stop() {
	c.in.Close()
	c.cmd.Process.Kill()
	c.cmd.Wait()
}

// cpu is the CPU time of a process so far.
func (c *child) cpu() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", c.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+2:]))
	var ticks int64
	for _, f := range fields[11:13] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * 10 * time.Millisecond, nil
}

// memory is the resident memory of a process in bytes.
func (c *child) memory() (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", c.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	n, err := strconv.ParseInt(strings.Fields(string(text))[1], 10, 64)
	return n * int64(os.Getpagesize()), err
}

// Measurement is what one way came to under one load.
type Measurement struct {
	Route                          string
	Streams                        int
	Requests                       uint64
	Tokens                         uint64
	Failed                         uint64
	CPU                            time.Duration // of the relay
	Duration                       time.Duration
	FirstTokenTime, TokenIntervals *hdrhistogram.Histogram // microseconds
	MemoryGrowth                   int64                   // grown while the streams ran
}

// load keeps so many streams running for a time.
func load(ctx context.Context, streams int, tokens int, every time.Duration, one func(ctx context.Context, n uint64, req *pb.GenerateRequest,
	got func(*pb.Tokens) error) error,
) *Measurement {
	p := &Measurement{Streams: streams, FirstTokenTime: hdrhistogram.New(1, 60e6, 3), TokenIntervals: hdrhistogram.New(1, 60e6, 3)}
	var mu sync.Mutex
	var n, jobs, toks, failed atomic.Uint64
	var wg sync.WaitGroup
	begin := time.Now()
	for i := range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			first, gaps := hdrhistogram.New(1, 60e6, 3), hdrhistogram.New(1, 60e6, 3)
			// Streams begin spread over one answer's time.
			time.Sleep(time.Duration(float64(every) * float64(tokens) * float64(i) / float64(streams)))
			for ctx.Err() == nil {
				k := n.Add(1)
				req := &pb.GenerateRequest{Track: "question", PromptTokens: 100, MaxTokens: uint32(tokens), Label: strconv.FormatUint(k, 10)}
				at, got := time.Now(), 0
				err := one(ctx, k, req, func(*pb.Tokens) error {
					now := time.Now()
					if us := now.Sub(at).Microseconds(); got == 0 {
						first.RecordValue(us)
					} else {
						gaps.RecordValue(us)
					}
					at = now
					got++
					toks.Add(1)
					return nil
				})
				if err == nil {
					jobs.Add(1)
				} else if ctx.Err() == nil {
					failed.Add(1)
					time.Sleep(250 * time.Millisecond)
				}
			}
			mu.Lock()
			p.FirstTokenTime.Merge(first)
			p.TokenIntervals.Merge(gaps)
			mu.Unlock()
		}()
	}
	wg.Wait()
	p.Requests, p.Tokens, p.Failed, p.Duration = jobs.Load(), toks.Load(), failed.Load(), time.Since(begin)
	return p
}

func generate(cs []pb.GenerationClient) func(context.Context, uint64, *pb.GenerateRequest, func(*pb.Tokens) error) error {
	return func(ctx context.Context, n uint64, req *pb.GenerateRequest, got func(*pb.Tokens) error) error {
		s, err := cs[int(n)%len(cs)].Generate(ctx, req)
		if err != nil {
			return err
		}
		for {
			tok, err := s.Recv()
			if errors.Is(err, io.EOF) {
				return nil
			}
			if err != nil {
				return err
			}
			if err := got(tok); err != nil {
				return err
			}
		}
	}
}

func clients(to string, n int) ([]pb.GenerationClient, func(), error) {
	var cs []pb.GenerationClient
	var conns []*grpc.ClientConn
	for range n {
		c, err := grpc.NewClient(to, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return nil, nil, err
		}
		conns = append(conns, c)
		cs = append(cs, pb.NewGenerationClient(c))
	}
	return cs, func() {
		for _, c := range conns {
			c.Close()
		}
	}, nil
}

// settings of the dispatcher that is measured.
const settings = `{
  "listen": "127.0.0.1:%d", "zone": "a", "fleet": {"watch": "%s"},
  "classes": [{"name": "question", "target": "5s", "timeout": "60s", "token_gap": "1s", "effect": "idempotent"}],
  "cold_start": {"from": 1, "warm_after": "1s", "overload_factor": 100, "overload_window": "1s"},
  "rules": {"release_within": "60s"}
}`

func freePort() (int, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

// Measure measures, and writes its figures as it goes.
func Measure(ctx context.Context, p Config) error {
	w := p.Output
	eng, err := start(p.Program, "lab", "engines", "--gap", p.TokenInterval.String())
	if err != nil {
		return err
	}
	defer eng.stop()
	var f Addresses
	if err := eng.out.Decode(&f); err != nil {
		return fmt.Errorf("engines: %w", err)
	}
	dir, err := os.MkdirTemp("", "docksail-measure")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	port, err := freePort()
	if err != nil {
		return err
	}
	file := filepath.Join(dir, "settings.json")
	if err := os.WriteFile(file, fmt.Appendf(nil, settings, port, f.Discovery), 0o600); err != nil {
		return err
	}
	disp, err := start(p.Program, "serve", file)
	if err != nil {
		return err
	}
	defer disp.stop()
	args := []string{"lab", "baseline-relay"}
	for _, r := range f.PrefillServers {
		args = append(args, "--reader", r)
	}
	for _, a := range f.DecodeServers {
		args = append(args, "--writer", a)
	}
	base, err := start(p.Program, args...)
	if err != nil {
		return err
	}
	defer base.stop()
	buf := make([]byte, 64)
	n, err := base.raw.Read(buf)
	if err != nil {
		return fmt.Errorf("baseline: %w", err)
	}
	at := map[string]string{"docksail": fmt.Sprintf("127.0.0.1:%d", port), "baseline": strings.TrimSpace(string(buf[:n]))}
	time.Sleep(500 * time.Millisecond)

	// Memory first: once the heap has grown, what is added hides in it.
	if err := memory(ctx, p, w, at, map[string]*child{"docksail": disp, "baseline": base}); err != nil {
		return err
	}
	fmt.Fprintf(w, "stand-ins on loopback, tokens every %v, answers of up to %d, %v a pass\n", p.TokenInterval, p.Tokens, p.Duration)
	fmt.Fprintf(w, "%-9s %8s %8s %10s %7s %10s %10s %12s %9s %9s %9s %9s\n", "way", "streams", "jobs", "tokens", "failed", "tokens/s",
		"cpu", "tokens/cpu s", "first p50", "first p99", "gap p50", "gap p99")
	for _, streams := range p.Streams {
		kept := map[string]*Measurement{}
		for _, way := range []string{"straight", "baseline", "docksail"} {
			ctx, cancel := context.WithCancel(ctx) // not a time-out, which would go on the wire and be kept
			time.AfterFunc(p.Duration, cancel)
			one := straight(f)
			var c *child
			done := func() {}
			if way != "straight" {
				cs, end, err := clients(at[way], 4)
				if err != nil {
					cancel()
					return err
				}
				one, done = generate(cs), end
				if c = disp; way == "baseline" {
					c = base
				}
			}
			var from, to time.Duration
			if c != nil {
				if from, err = c.cpu(); err != nil {
					cancel()
					return err
				}
			}
			var idle, busy int64
			if c != nil {
				if idle, err = c.memory(); err != nil {
					cancel()
					return err
				}
				time.AfterFunc(p.Duration*9/10, func() { busy, _ = c.memory() })
			}
			pass := load(ctx, streams, p.Tokens, p.TokenInterval, one)
			if c != nil {
				if to, err = c.cpu(); err != nil {
					cancel()
					return err
				}
			}
			cancel()
			done()
			pass.Route, pass.CPU, pass.MemoryGrowth = way, to-from, busy-idle
			kept[way] = pass
			perCPU := 0.0
			if pass.CPU > 0 {
				perCPU = float64(pass.Tokens) / pass.CPU.Seconds()
			}
			ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
			fmt.Fprintf(w, "%-9s %8d %8d %10d %7d %10.0f %9.2fs %12.0f %9.2f %9.2f %9.2f %9.2f\n", way, streams, pass.Requests, pass.Tokens, pass.Failed,
				float64(pass.Tokens)/pass.Duration.Seconds(), pass.CPU.Seconds(), perCPU, ms(pass.FirstTokenTime, 50), ms(pass.FirstTokenTime, 99), ms(pass.TokenIntervals, 50), ms(pass.TokenIntervals, 99))
			time.Sleep(300 * time.Millisecond)
		}
		d, b := kept["docksail"], kept["baseline"]
		fmt.Fprintf(w, "at %d streams: resident memory grown by %d bytes a running stream, the baseline's by %d\n", streams,
			d.MemoryGrowth/int64(streams), b.MemoryGrowth/int64(streams))
		if d.CPU > 0 && b.CPU > 0 && b.Requests > 0 && d.Requests > 0 {
			fmt.Fprintf(w, "at %d streams: %.2f times the baseline's tokens a CPU second, %.2f of its CPU a job\n", streams,
				float64(d.Tokens)/d.CPU.Seconds()/(float64(b.Tokens)/b.CPU.Seconds()),
				d.CPU.Seconds()/float64(d.Requests)/(b.CPU.Seconds()/float64(b.Requests)))
		}
	}
	return nil
}

func straight(f Addresses) func(context.Context, uint64, *pb.GenerateRequest, func(*pb.Tokens) error) error {
	var readers, writers []pb.EngineClient
	for i, list := range [][]string{f.PrefillServers, f.DecodeServers} {
		for _, a := range list {
			c, err := grpc.NewClient(a, grpc.WithTransportCredentials(insecure.NewCredentials()))
			if err != nil {
				continue
			}
			if i == 0 {
				readers = append(readers, pb.NewEngineClient(c))
			} else {
				writers = append(writers, pb.NewEngineClient(c))
			}
		}
	}
	life := uint64(time.Now().UnixNano())
	return func(ctx context.Context, n uint64, req *pb.GenerateRequest, got func(*pb.Tokens) error) error {
		return baselinerelay.Generate(ctx, req, life, n, readers, f.PrefillServers, writers, got)
	}
}

// memory takes the resident memory for idle connections and running streams.
func memory(ctx context.Context, p Config, w io.Writer, at map[string]string, of map[string]*child) error {
	fmt.Fprintf(w, "%-9s %-22s %8s %14s %14s\n", "way", "what", "number", "bytes in all", "bytes for one")
	for _, way := range []string{"baseline", "docksail"} {
		c := of[way]
		before, err := c.memory()
		if err != nil {
			return err
		}
		say := func(what string, n int) error {
			now, err := c.memory()
			if err != nil {
				return err
			}
			fmt.Fprintf(w, "%-9s %-22s %8d %14d %14.0f\n", way, what, n, now-before, float64(now-before)/float64(max(n, 1)))
			before = now
			return nil
		}
		var conns []net.Conn
		for range p.IdleConns {
			conn, err := net.Dial("tcp", at[way])
			if err != nil {
				return err
			}
			conns = append(conns, conn)
			if _, err := conn.Write([]byte(http2.ClientPreface + "\x00\x00\x00\x04\x00\x00\x00\x00\x00")); err != nil {
				return err
			}
		}
		time.Sleep(time.Second)
		if err := say("idle connections", len(conns)); err != nil {
			return err
		}
		for _, conn := range conns {
			conn.Close()
		}
		cs, done, err := clients(at[way], 4)
		if err != nil {
			return err
		}
		time.Sleep(time.Second)
		if before, err = c.memory(); err != nil {
			return err
		}
		ctx, cancel := context.WithCancel(ctx)
		var wg sync.WaitGroup
		for i := range p.WaitingRequests {
			wg.Add(1)
			go func() {
				defer wg.Done()
				s, err := cs[i%len(cs)].Generate(ctx, &pb.GenerateRequest{Track: "question", PromptTokens: endless, MaxTokens: 1})
				for err == nil {
					_, err = s.Recv()
				}
			}()
		}
		time.Sleep(1500 * time.Millisecond)
		err = say("jobs waiting for a read", p.WaitingRequests)
		cancel()
		wg.Wait()
		done()
		if err != nil {
			return err
		}
	}
	return nil
}
