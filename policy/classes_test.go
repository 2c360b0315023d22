package policy

import (
	"math/rand/v2"
	"testing"
)

// play gives a module with these tracks some thousand events drawn from a seed, jobs of track i being told as of place[i],
// and gives all that it decides.
func play(t *testing.T, seed uint64, tracks []Track, place []TrackID) (decided []Decision) {
	t.Helper()
	d, err := New(7, Place{Count: 3}, tracks, nil, []Role{Reader, Writer}, ColdStart{From: 0.3, Warm: 5e9, Multiple: 2.5, Window: 3e9},
		Launching{Most: 4, Recall: true}, Answering{Slack: 16e6, Round: 4e6, Advice: true, MaxAdvice: 1e9}, Listing{}, 1e9)
	if err != nil {
		t.Fatal(err)
	}
	now, rng, out := Nanos(10e9), rand.New(rand.NewPCG(seed, 0)), []Decision{}
	d.ListBegin(true)
	for id := range HostID(8) {
		d.HostListed(id+1, 0, KindID(id%2), CellID(id%4/2), Serving, 0)
	}
	d.ListEnd(now)
	wake := Never
	for n := range 4000 {
		now += Nanos(rng.Int64N(20e6))
		if now >= wake {
			wake = Never
			d.Woken(now)
		}
		if rng.Int64N(2) == 0 {
			d.JobArrived(now, Job{ID: JobID(n + 1), Track: place[rng.IntN(2)], Tenant: -1, Session: SessionKey(rng.IntN(50) + 1),
				Prefix: PrefixKey(rng.IntN(5) + 1), Prompt: 1000 + rng.Int64N(3000), Shared: 800, Deadline: now + Nanos(1e9+rng.Int64N(4e9))})
		}
		if k := rng.IntN(max(len(out), 1)); len(out) > 0 && rng.IntN(3) > 0 {
			what := out[k]
			out = append(out[:k], out[k+1:]...)
			how := []Outcome{Read, Read, Read, Failed, Late, Turned}[rng.IntN(6)]
			if what.Host%2 == 0 && how == Read {
				how = Honoured
			}
			d.LaunchEnded(now, what.Job, what.Shot, how, Nanos(rng.Int64N(800e6)), how == Honoured, NoLoad)
		}
		for what, ok := d.Next(now); ok; what, ok = d.Next(now) {
			switch what.Verb {
			case Launch:
				_, j := d.jobs.find(what.Job)
				what.Shot = Shot(j.launches - 1)
				out = append(out, what)
			case Wake:
				wake = now + what.For
			case Recall:
				for k := range out {
					if out[k].Job == what.Job {
						out = append(out[:k], out[k+1:]...)
						break
					}
				}
				d.LaunchEnded(now, what.Job, what.Shot, Recalled, 1e6, false, NoLoad)
			}
			what.Text = ""
			decided = append(decided, what)
		}
	}
	return decided
}

// No decision goes by the place of a class in the settings.
func TestClassOrder(t *testing.T) {
	quick := Track{Expected: 1e9, ExpectedPer1k: 40e6, Patience: 5e9, Payoff: 1}
	slow := Track{Expected: 4e9, ExpectedPer1k: 40e6, Patience: 9e9, Payoff: 3, Effect: Labelled, Window: 3e9}
	for seed := range uint64(5) {
		a := play(t, seed, []Track{quick, slow}, []TrackID{0, 1})
		b := play(t, seed, []Track{slow, quick}, []TrackID{1, 0})
		for i := range min(len(a), len(b)) {
			if a[i] != b[i] {
				t.Fatalf("seed %d, decision %d of %d: %+v, and %+v where the classes stand the other way round", seed, i, len(a), a[i], b[i])
			}
		}
		if len(a) != len(b) || len(a) < 4000 {
			t.Errorf("seed %d: %d and %d decisions", seed, len(a), len(b))
		}
	}
}

// A host that has not answered a class whose target is long is not taken for silent at the pace of a quicker one.
func TestSilenceByOwnTarget(t *testing.T) {
	quick, slow := Track{Expected: 1e9, Patience: 20e9}, Track{Expected: 6e9, Patience: 20e9}
	d, err := New(7, Place{Count: 1}, []Track{quick, slow}, nil, []Role{Reader, Writer}, ColdStart{}, Launching{Most: 4, Recall: true},
		Answering{Slack: 16e6, Round: 4e6}, Listing{}, 5e9)
	if err != nil {
		t.Fatal(err)
	}
	now := Nanos(1e9)
	d.ListBegin(true)
	d.HostListed(1, 0, 0, 0, Serving, 0)
	d.HostListed(2, 0, 1, 0, Serving, 0)
	d.HostListed(3, 0, 1, 0, Serving, 0)
	d.ListEnd(now)
	recalled := func() (n int) {
		for what, ok := d.Next(now); ok; what, ok = d.Next(now) {
			if what.Verb == Recall {
				n++
			}
		}
		return n
	}
	for id, track := range []TrackID{0, 1} {
		d.JobArrived(now, Job{ID: JobID(id), Track: track, Tenant: -1, Prompt: 100, Deadline: now + 20e9})
		recalled()
		d.LaunchEnded(now, JobID(id), 0, Read, 1e6, false, NoLoad)
		recalled()
	}
	now += 1500e6 // over a sixth of twice the quick target, under that of the slow one
	d.Woken(now)
	if n := recalled(); n != 1 {
		t.Errorf("%d launches withdrawn, want that of the quick class alone", n)
	}
}
