// Package calibrate takes the timings of the batching stand-in behind gRPC, on the clock, and sets them beside what its
// model intends.
package calibrate

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/engine"
)

// Comparison is one figure.
type Comparison struct {
	Name               string
	Intended, Measured float64
	Unit               string
}

// RelativeError is how far the record is off, as a share of what was intended.
func (l Comparison) RelativeError() float64 { return l.Measured/l.Intended - 1 }

// PrintComparisons writes lines for people.
func PrintComparisons(w io.Writer, lines []Comparison) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "figure\tintended\trecorded\terror\t")
	for _, l := range lines {
		fmt.Fprintf(t, "%s\t%.4g %s\t%.4g %s\t%+.1f %%\t\n", l.Name, l.Intended, l.Unit, l.Measured, l.Unit, 100*l.RelativeError())
	}
	return t.Flush()
}

const (
	rounds   = 5
	readRate = 20000.0
	moveRate = 100000.0
	gap      = 20 * time.Millisecond
	memory   = 1 << 15
	prompt   = 4000 // tokens: two steps of a read
	state    = 8000 // tokens of a state that moves
	coldFrom = 0.25
	warmIn   = 4 * time.Second
)

type bench struct {
	engines []*engine.Engine
	links   *engine.Links
	conns   []*grpc.ClientConn
	job     uint64
}

func (b *bench) start(s engine.Spec, warm bool) (*engine.Engine, pb.EngineClient, error) {
	s.ID, s.Slots, s.Queue, s.MemoryTokens, s.PrefillRate, s.RequestsPerSecond = len(b.engines)+1, 8, 64, memory, readRate, 1000
	s.TransferRate, s.MaxHoldTime, s.BatchModel, s.TokenGap = moveRate, time.Minute, true, gap
	e := engine.New(s, engine.LinearModel{}, nil)
	e.Links = b.links
	if err := e.Start("127.0.0.1:0"); err != nil {
		return nil, nil, err
	}
	if warm {
		e.SkipWarmup()
	}
	b.engines = append(b.engines, e)
	c, err := grpc.NewClient(e.Addr(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, nil, err
	}
	b.conns = append(b.conns, c)
	return e, pb.NewEngineClient(c), nil
}

func (b *bench) close() {
	for _, c := range b.conns {
		c.Close()
	}
	for _, e := range b.engines {
		e.Crash()
	}
	b.links.Close()
}

func (b *bench) launch(tokens, answer uint32, label string) *pb.Launch {
	b.job++
	return &pb.Launch{Job: b.job, Request: &pb.GenerateRequest{PromptTokens: tokens, MaxTokens: answer, Session: label, Label: label}}
}

// read times one read and lets go of its state.
func (b *bench) read(ctx context.Context, c pb.EngineClient, tokens uint32, label string) (time.Duration, *pb.ReadDone, error) {
	l, begin := b.launch(tokens, 1, label), time.Now()
	done, err := c.Read(ctx, l)
	took := time.Since(begin)
	if err == nil {
		_, err = c.Release(ctx, &pb.ReleaseRequest{Job: l.Job})
	}
	return took, done, err
}

// write times an answer: to its first token, and the gaps between the others.
func write(ctx context.Context, c pb.EngineClient, l *pb.Launch) (first time.Duration, gaps []time.Duration, err error) {
	begin := time.Now()
	stream, err := c.Write(ctx, l)
	for last := begin; err == nil; {
		if _, err = stream.Recv(); err != nil {
			break
		}
		now := time.Now()
		if first == 0 {
			first = now.Sub(begin)
		} else {
			gaps = append(gaps, now.Sub(last))
		}
		last = now
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return first, gaps, err
}

func median(ds []time.Duration) float64 {
	slices.Sort(ds)
	return ds[len(ds)/2].Seconds()
}

// Measure takes all figures, in some twenty seconds.
func Measure(ctx context.Context) (lines []Comparison, err error) {
	b := &bench{links: engine.NewLinks(engine.CellLinkFactor, engine.CrossZoneFactor)}
	defer b.close()
	add := func(what string, intended, recorded float64, unit string) {
		lines = append(lines, Comparison{what, intended, recorded, unit})
	}
	from, reader, err := b.start(engine.Spec{Role: pb.Role_ROLE_MIXED, Zone: "a", Cell: "a1"}, true)
	if err != nil {
		return nil, err
	}
	shape := from.Spec.BatchShape()

	var took []time.Duration
	for i := range rounds {
		t, _, err := b.read(ctx, reader, prompt, fmt.Sprint("read", i))
		if err != nil {
			return nil, err
		}
		took = append(took, t)
	}
	steps := (prompt + engine.ChunkTokens - 1) / engine.ChunkTokens
	add("read of 4,000 tokens", time.Duration(int64(steps)*shape.StepTime+prompt*shape.TimePerPromptToken).Seconds()*1e3, median(took)*1e3, "ms")

	if _, _, err = b.read(ctx, reader, prompt, "kept"); err != nil {
		return nil, err
	}
	t, done, err := b.read(ctx, reader, prompt, "kept")
	if err != nil {
		return nil, err
	}
	add("tokens kept of 4,000 read again", prompt-1, float64(done.KeptTokens), "tokens")
	add("time of that read", time.Duration(shape.StepTime+shape.TimePerPromptToken).Seconds()*1e3, t.Seconds()*1e3, "ms")

	const context0, answer = 1000, 60
	l := b.launch(context0, answer, "gap")
	_, gaps, err := write(ctx, reader, l)
	if err != nil {
		return nil, err
	}
	meanContext := int64(context0 + len(gaps)/2)
	add("gap, one answer alone", time.Duration(shape.StepTime+shape.TimePerAnswer+meanContext*shape.TimePer1kContext/1000).Seconds()*1e3, median(gaps)*1e3, "ms")

	const many = 6
	type result struct {
		gaps []time.Duration
		err  error
	}
	results := make(chan result, many)
	for i := range many {
		l := b.launch(context0, answer, fmt.Sprint("many", i))
		go func() {
			_, gaps, err := write(ctx, reader, l)
			results <- result{gaps, err}
		}()
	}
	gaps = gaps[:0]
	for range many {
		r := <-results
		if r.err != nil {
			return nil, r.err
		}
		n := len(r.gaps) // the middle, where all run and none is read
		gaps = append(gaps, r.gaps[n/2:n*2/3]...)
	}
	add("gap, six answers together", time.Duration(shape.StepTime+many*shape.TimePerAnswer+many*meanContext*shape.TimePer1kContext/1000).Seconds()*1e3, median(gaps)*1e3, "ms")

	for _, way := range []struct {
		what       string
		zone, cell string
		slower     float64
	}{{"move of 8,000 tokens within a cell", "a", "a1", 1}, {"the same to another zone", "b", "b1", engine.CrossZoneFactor}} {
		_, writer, err := b.start(engine.Spec{Role: pb.Role_ROLE_WRITER, Zone: way.zone, Cell: way.cell}, true)
		if err != nil {
			return nil, err
		}
		took = took[:0]
		for i := range rounds {
			l := b.launch(state, 1, fmt.Sprint(way.cell, i))
			if _, err := reader.Read(ctx, l); err != nil {
				return nil, err
			}
			l.StateAddress = from.Addr()
			first, _, err := write(ctx, writer, l)
			if err != nil {
				return nil, err
			}
			took = append(took, first)
		}
		step := time.Duration(shape.StepTime + shape.TimePerAnswer + state*shape.TimePer1kContext/1000).Seconds()
		add(way.what, (state*way.slower/moveRate+step)*1e3, median(took)*1e3, "ms")
	}

	// What is kept goes when its room is needed, the least recently used first.
	small, evicts, err := b.start(engine.Spec{Role: pb.Role_ROLE_READER, Zone: "a", Cell: "a1"}, true)
	if err != nil {
		return nil, err
	}
	const each = 4096
	fit := int(small.Spec.MemoryTokens) / each
	for i := range fit + 2 { // two more than fit
		if _, _, err := b.read(ctx, evicts, each, fmt.Sprint("evict", i)); err != nil {
			return nil, err
		}
	}
	kept := 0
	for i := fit + 1; i > 0; i-- { // the newest first, so that looking evicts none of the others
		_, done, err := b.read(ctx, evicts, each, fmt.Sprint("evict", i))
		if err != nil {
			return nil, err
		}
		if done.KeptTokens < each/2 {
			break
		}
		kept++
	}
	add("beginnings still kept, of two more than fit", float64(fit), float64(kept), "")

	// A cold host reads at a share of its pace that grows.
	cold, coldC, err := b.start(engine.Spec{Role: pb.Role_ROLE_READER, Zone: "a", Cell: "a1", InitialCapacity: coldFrom, WarmupTime: warmIn}, false)
	if err != nil {
		return nil, err
	}
	for i, at := range []time.Duration{0, warmIn / 2, warmIn} {
		began, _ := cold.StartTime()
		time.Sleep(time.Until(began.Add(at)))
		warmth := min(1, coldFrom+(1-coldFrom)*time.Since(began).Seconds()/warmIn.Seconds())
		t, _, err := b.read(ctx, coldC, 1000, fmt.Sprint("cold", i))
		if err != nil {
			return nil, err
		}
		add(fmt.Sprintf("read of 1,000 tokens, %v after a cold start", at), time.Duration(shape.StepTime+1000*shape.TimePerPromptToken).Seconds()/warmth*1e3, t.Seconds()*1e3, "ms")
	}
	return lines, nil
}
