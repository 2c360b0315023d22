package batchmodel

import (
	"math"
	"testing"
)

func TestReports(t *testing.T) {
	r, err := NewReporter(1, second, 3*second, 0)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 100 { // every tenth of a second; the true figure is the time in tenths
		r.Observe(Nanos(i)*second/10, Load{Requests: float64(i)})
	}
	for _, c := range []struct {
		at   Nanos
		want float64
		age  Nanos
		ok   bool
	}{
		{2 * second, 0, 0, false},
		{3 * second, 0, 3 * second, true},
		{3*second + 999, 0, 3*second + 999, true},
		{7 * second, 40, 3 * second, true},
		{7*second + second/2, 40, 3*second + second/2, true},
	} {
		f, age, ok := r.Latest(c.at)
		if ok != c.ok || f.Requests != c.want || age != c.age {
			t.Errorf("at %d: %v, %d old, %v; want %v, %d, %v", c.at, f.Requests, age, ok, c.want, c.age, c.ok)
		}
	}
	r.SetDelay(0)
	if f, age, _ := r.Latest(9 * second); f.Requests != 90 || age != 0 {
		t.Errorf("not late any more: %v, %d old", f.Requests, age)
	}
}

// TestNoise: figures are off by about what is asked for, the same for the same seed, and memory stays a share.
func TestNoise(t *testing.T) {
	a, _ := NewReporter(5, 0, 0, 0.2)
	b, _ := NewReporter(5, 0, 0, 0.2)
	sum, n := 0.0, 4000
	for i := range n {
		at := Nanos(i + 1)
		a.Observe(at, Load{QueuedPromptTokens: 1000, MemoryUtilization: 0.95})
		b.Observe(at, Load{QueuedPromptTokens: 1000, MemoryUtilization: 0.95})
		fa, _, _ := a.Latest(at)
		fb, _, _ := b.Latest(at)
		if fa != fb {
			t.Fatal("equal seeds give other reports")
		}
		if fa.MemoryUtilization > 1 {
			t.Fatalf("memory in use %v", fa.MemoryUtilization)
		}
		x := math.Log(fa.QueuedPromptTokens / 1000)
		sum += x * x
	}
	if got := math.Sqrt(sum / float64(n)); got < 0.18 || got > 0.22 {
		t.Errorf("spread %v, want 0.2", got)
	}
	if _, err := NewReporter(1, -1, 0, 0); err == nil {
		t.Error("reports every -1 are taken")
	}
}
