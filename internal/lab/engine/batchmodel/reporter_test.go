package batchmodel

import (
	"math"
	"testing"
)

// TestReports checks the interval and the delay of reports.
func TestReports(t *testing.T) {
	r, err := NewReporter(1, second, 3*second, 0)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 100 { // every 0.1 s; the load is the time in tenths of a second
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
		load, age, ok := r.Latest(c.at)
		if ok != c.ok || load.Requests != c.want || age != c.age {
			t.Errorf("at %d: %v, %d old, %v; want %v, %d, %v", c.at, load.Requests, age, ok, c.want, c.age, c.ok)
		}
	}
	r.SetDelay(0)
	if load, age, _ := r.Latest(9 * second); load.Requests != 90 || age != 0 {
		t.Errorf("after SetDelay(0): %v, %d old; want 90 requests, 0 old", load.Requests, age)
	}
}

// TestNoise checks that noise has the given spread, is equal for equal seeds, and keeps the memory utilization at
// most 1.
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
			t.Fatal("reporters with equal seeds differ")
		}
		if fa.MemoryUtilization > 1 {
			t.Fatalf("memory utilization %v, want at most 1", fa.MemoryUtilization)
		}
		x := math.Log(fa.QueuedPromptTokens / 1000)
		sum += x * x
	}
	if got := math.Sqrt(sum / float64(n)); got < 0.18 || got > 0.22 {
		t.Errorf("standard deviation %v, want 0.2", got)
	}
	if _, err := NewReporter(1, -1, 0, 0); err == nil {
		t.Error("an interval of -1 was accepted")
	}
}
