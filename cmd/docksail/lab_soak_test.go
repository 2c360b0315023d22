package main

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"docksail/internal/lab/soak"
)

// soakSeedsVariable names the environment variable that sets the number of seeds of TestFaultSoak.
const soakSeedsVariable = "DOCKSAIL_SOAK_SEEDS"

// TestFaultSoak checks that real dispatchers do not violate the invariants while stand-in servers have random faults.
// A failing seed is printed with its schedule; docksail lab soak --seed runs it again.
func TestFaultSoak(t *testing.T) {
	seeds := 4
	if text := os.Getenv(soakSeedsVariable); text != "" {
		var err error
		if seeds, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	for n := range seeds {
		t.Run(fmt.Sprint(n+1), func(t *testing.T) {
			s := soak.Soak{
				Seed: uint64(n + 1), Duration: 6 * time.Second, MaxProcesses: 14, Program: program,
				LogDirectory: t.TempDir(), MemoryNotJudged: raceEnabled,
			}
			verdict, err := s.Run()
			if err != nil {
				t.Fatal(err)
			}
			t.Log(verdict.Details())
			if err := verdict.Err(); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestSoakSchedule checks that a seed always has the same schedule, and that at most half of the servers of each role
// have a fault at any time.
func TestSoakSchedule(t *testing.T) {
	for seed := range uint64(20) {
		first, second := soak.NewPlan(seed, 0, 20*time.Second), soak.NewPlan(seed, 0, 20*time.Second)
		if fmt.Sprint(first) != fmt.Sprint(second) || len(first.Schedule) == 0 {
			t.Fatalf("seed %d: %d faults, then %d", seed, len(first.Schedule), len(second.Schedule))
		}
		for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond {
			faulty := map[byte]int{}
			for _, f := range first.Schedule {
				if f.Start <= at && at < f.Start+f.Duration {
					faulty[f.Target[0]]++
				}
			}
			if 2*faulty['r'] > first.Prefill || 2*faulty['w'] > first.Decode {
				t.Fatalf("seed %d at %v: %d of %d prefill and %d of %d decode servers have a fault",
					seed, at, faulty['r'], first.Prefill, faulty['w'], first.Decode)
			}
		}
	}
}
