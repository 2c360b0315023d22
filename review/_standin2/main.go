// Command standin2 plays one case of the second review: it starts stand-ins for engines, discovery and clients, runs
// `docksail serve` as a process among them, and says whether the rule of the case held.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

// lab is what every case has.
type lab struct {
	record  *record
	program string
	folder  string
	trouble bool
	fleet   *fleet
}

// errCannotRun is wrapped by errors that say nothing about the rule.
var errCannotRun = errors.New("the case could not run")

func cannotRun(err error) error { return fmt.Errorf("%w: %w", errCannotRun, err) }

var cases = map[string]func(*lab) (broken bool, err error){
	"gateway":     playGateway,
	"silentwatch": playSilentWatch,
	"zonerepeat":  playZoneRepeat,
	"window":      playWindow,
	"second":      playSecond,
}

func main() {
	program := flag.String("program", "bin/docksail", "the program under test")
	recordFile := flag.String("record", "record.txt", "file for what was sent, answered and run")
	folder := flag.String("folder", "", "an empty temporary folder")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil || *folder == "" {
		fmt.Fprintln(os.Stderr, "usage: standin2 -folder DIR CASE")
		os.Exit(2)
	}
	r, err := newRecord(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	go func() { // a case that hangs could not run
		time.Sleep(110 * time.Second)
		r.sayf("the case did not end in time")
		os.Exit(2)
	}()
	l := &lab{record: r, program: *program, folder: *folder, trouble: os.Getenv("TROUBLE") != "0", fleet: newFleet(r)}
	broken, err := play(l)
	switch {
	case err != nil:
		r.sayf("%v", err)
		os.Exit(2)
	case broken:
		r.sayf("the rule was BROKEN")
		os.Exit(1)
	}
	r.sayf("the rule held")
}
