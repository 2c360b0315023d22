// Package rules judges the five rules from what passed on the sockets, as both ends wrote it down. It never asks
// the dispatcher.
package rules

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"docksail/internal/lab/book"
)

// Track is what the rules need to know of a track.
type Track struct {
	Effect string // redoable, labelled, irreversible
	Group  string // all, zone, cell
	Window time.Duration
}

// Host is what the rules need to know of a host.
type Host struct{ Zone, Cell string }

// Facts are the figures by which a run is judged.
type Facts struct {
	Tracks  map[string]Track
	Hosts   map[int]Host
	Release time.Duration // held states are taken or let go within this
	Grace   time.Duration // nothing new to a host so long after the dispatcher was told of its drain
	Slack   time.Duration // for what crosses on the wire and for a busy machine
}

// Violation is one broken rule.
type Violation struct {
	Rule int
	At   int64
	What string
}

func (v Violation) String() string { return fmt.Sprintf("rule %d: %s", v.Rule, v.What) }

// launch is one launch as it passed.
type launch struct {
	job        string
	shot, host int
	disp       int
	write      bool
	sent, end  int64
	code, note string
}

// harmless tells that it is known not to have run.
func (l *launch) harmless() bool {
	return !l.write || l.code == "ResourceExhausted" || l.code == "FailedPrecondition" || l.note == "refused"
}

const never = int64(1) << 62

type try struct {
	asked  book.Entry
	job    string
	final  *book.Entry
	finals int
}

// Check gives all rules that were broken, by time.
func Check(es []book.Entry, f Facts) []Violation {
	var out []Violation
	bad := func(rule int, at int64, format string, args ...any) {
		out = append(out, Violation{rule, at, fmt.Sprintf(format, args...)})
	}
	slack := int64(f.Slack)
	jobs := map[string][]*launch{}
	var order []string
	open := map[string]*launch{}
	tries := map[string]*try{}
	var tryOrder []string
	labelOf := map[string]*try{} // by job
	var downs [][2]int64
	down := map[int]int64{}
	told := map[[2]int]int64{} // dispatcher, host: told that it drains or is gone
	type heldAt struct {
		from int64
		e    book.Entry
	}
	held := map[string]heldAt{}
	type pin struct {
		job      string
		host     int
		from, to int64
		how      string
	}
	var pins []pin
	cut := map[int][][2]int64{} // host: times in which it could not be heard
	cutFrom := map[int]int64{}
	ran := map[string][]book.Entry{}

	for i := range es {
		e := es[i]
		switch e.Kind {
		case book.Down:
			down[e.Disp] = e.At
		case book.Up:
			if at, ok := down[e.Disp]; ok {
				downs = append(downs, [2]int64{at, e.At})
				delete(down, e.Disp)
			}
		case book.Asked:
			key := fmt.Sprintf("%s/%d", e.Label, e.Try)
			tries[key] = &try{asked: e}
			tryOrder = append(tryOrder, key)
		case book.Final, book.Quit, book.NoAnswer:
			t := tries[fmt.Sprintf("%s/%d", e.Label, e.Try)]
			if t == nil {
				bad(1, e.At, "an answer to %s that nobody asked", e.Label)
				break
			}
			t.finals++
			t.final = &es[i]
			if e.Job != "" {
				t.job = e.Job
				labelOf[e.Job] = t
			}
		case book.Sent:
			l := &launch{job: e.Job, shot: e.Shot, host: e.Host, disp: e.Disp, write: e.Note == "write", sent: e.At, end: never}
			if jobs[e.Job] == nil {
				order = append(order, e.Job)
			}
			jobs[e.Job] = append(jobs[e.Job], l)
			open[fmt.Sprintf("%s/%d/%d", e.Job, e.Shot, e.Host)] = l
			if at, ok := told[[2]int{e.Disp, e.Host}]; ok && e.At > at+int64(f.Grace)+slack {
				bad(3, e.At, "job %s was sent to host %d %v after dispatcher %d was told that it drains or is gone",
					e.Job, e.Host, time.Duration(e.At-at).Round(time.Millisecond), e.Disp)
			}
		case book.Ended:
			if l := open[fmt.Sprintf("%s/%d/%d", e.Job, e.Shot, e.Host)]; l != nil && l.end == never {
				l.end, l.code, l.note = e.At, e.Code, e.Note
			}
		case book.Told:
			key := [2]int{e.Disp, e.Host}
			if e.Note == "HEALTH_SERVING" {
				delete(told, key)
			} else if _, ok := told[key]; !ok {
				told[key] = e.At
			}
		case book.Toppled:
			bad(4, e.At, "cold host %d fell over, sent %d launches", e.Host, e.N)
		case book.Held:
			held[fmt.Sprintf("%s/%d", e.Job, e.Host)] = heldAt{e.At, e}
		case book.LetGo:
			key := fmt.Sprintf("%s/%d", e.Job, e.Host)
			if h, ok := held[key]; ok {
				pins = append(pins, pin{e.Job, e.Host, h.from, e.At, e.Note})
				delete(held, key)
			}
		case book.Ran:
			ran[e.Label] = append(ran[e.Label], e)
		case book.Trouble:
			if e.Note == "cut" {
				cutFrom[e.Host] = e.At
			} else if e.Note == "uncut" {
				cut[e.Host] = append(cut[e.Host], [2]int64{cutFrom[e.Host], e.At})
				delete(cutFrom, e.Host)
			}
		}
	}
	end := never
	if len(es) > 0 {
		end = es[len(es)-1].At
	}
	for host, at := range cutFrom {
		cut[host] = append(cut[host], [2]int64{at, never})
	}
	for _, at := range down {
		downs = append(downs, [2]int64{at, never})
	}
	hit := func(spans [][2]int64, from, to int64) bool {
		return slices.ContainsFunc(spans, func(s [2]int64) bool { return s[0] <= to+slack && s[1] >= from-slack })
	}

	// Rule one: each try ends once, in time, and nothing is sent for it after.
	for _, key := range tryOrder {
		t := tries[key]
		a := t.asked
		switch {
		case t.final == nil:
			bad(1, a.At, "%s (track %s) never ended", key, a.Track)
			continue
		case t.finals > 1:
			bad(1, a.At, "%s ended %d times", key, t.finals)
		}
		e := *t.final
		if e.Kind == book.NoAnswer && !hit(downs, a.At, e.At) {
			bad(1, e.At, "%s (track %s, job %s) got no final answer: %s", key, a.Track, t.job, e.Code)
		}
		if e.Kind == book.Final && e.Code != "OK" && e.Code != "Aborted" && e.At > e.By+slack {
			bad(1, e.At, "%s was nacked %v after its time was up", key, time.Duration(e.At-e.By).Round(time.Millisecond))
		}
		if e.Kind == book.Final && e.Code != "OK" && e.Code != "Aborted" && e.Code != "Unavailable" && e.Code != "ResourceExhausted" {
			bad(1, e.At, "%s ended with %s, which is no final answer of ours", key, e.Code)
		}
		if t.job == "" {
			continue
		}
		for _, l := range jobs[t.job] {
			if l.sent > e.At+slack {
				bad(1, l.sent, "job %s (%s) was sent to host %d %v after its end", t.job, key, l.host,
					time.Duration(l.sent-e.At).Round(time.Millisecond))
			}
		}
	}

	// Rule two: no effect twice.
	for _, job := range order {
		ls := jobs[job]
		slices.SortStableFunc(ls, func(a, b *launch) int { return cmp.Compare(a.sent, b.sent) })
		for i := 1; i < len(ls); i++ {
			for _, before := range ls[:i] {
				if before.end > ls[i].sent+slack {
					bad(2, ls[i].sent, "job %s had two launches out: at host %d since %v, then at host %d", job, before.host,
						time.Duration(ls[i].sent-before.sent).Round(time.Millisecond), ls[i].host)
				}
			}
		}
		t := labelOf[job]
		if t == nil {
			continue
		}
		track := f.Tracks[t.asked.Track]
		first := slices.IndexFunc(ls, func(l *launch) bool { return !l.harmless() })
		if first < 0 || track.Effect == "redoable" || track.Effect == "" {
			continue
		}
		was := ls[first]
		for _, l := range ls[first+1:] {
			switch a, b := f.Hosts[was.host], f.Hosts[l.host]; {
			case track.Effect == "irreversible":
				bad(2, l.sent, "irreversible job %s was sent to host %d after it may have run at host %d", job, l.host, was.host)
			case track.Group == "zone" && l.write && a.Zone != b.Zone, track.Group == "cell" && l.write && a != b:
				bad(2, l.sent, "labelled job %s was sent to host %d, outside the %s of host %d", job, l.host, track.Group, was.host)
			case l.write && l.sent > was.sent+int64(track.Window)+slack:
				bad(2, l.sent, "labelled job %s was sent again after its window", job)
			}
		}
		if e := t.final; e != nil && e.Kind == book.Final && (e.Code == "Unavailable" || e.Code == "ResourceExhausted") &&
			(track.Effect == "irreversible" || track.Group != "all") && was.sent < e.At {
			bad(2, e.At, "%s job %s was nacked though it may have run at host %d", track.Effect, job, was.host)
		}
	}
	for label, rs := range ran {
		if label != "" && len(rs) > 1 && f.Tracks[rs[0].Track].Effect == "irreversible" {
			bad(2, rs[1].At, "irreversible %s ran %d times, at hosts %d and %d", label, len(rs), rs[0].Host, rs[1].Host)
		}
	}

	// Rule five: what is held while no launch is out.
	for _, h := range held {
		pins = append(pins, pin{h.e.Job, h.e.Host, h.from, end, "still held at the end"})
	}
	slices.SortFunc(pins, func(a, b pin) int { return cmp.Compare(a.from, b.from) })
	for _, p := range pins {
		if hit(downs, p.from, p.to) || hit(cut[p.host], p.from, p.to) {
			continue
		}
		at, worst := p.from, int64(0)
		for _, l := range jobs[p.job] {
			if l.end < p.from || l.sent > p.to {
				continue
			}
			worst = max(worst, l.sent-at)
			at = max(at, min(l.end, p.to))
		}
		worst = max(worst, p.to-at)
		if worst > int64(f.Release)+slack {
			bad(5, p.from, "host %d held the state of job %s for %v with no launch out (%s)", p.host, p.job,
				time.Duration(worst).Round(time.Millisecond), p.how)
		}
	}
	slices.SortStableFunc(out, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return out
}
