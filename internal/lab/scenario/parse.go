package scenario

import (
	"fmt"
	"os"
	"time"

	"docksail/internal/config"
)

// reportFunc reports an invalid value at a path of a script.
type reportFunc func(path, format string, args ...any)

// Load reads a script from a file.
func Load(name string) (*Script, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, text)
}

// Parse parses and validates a script. name is the name of the file in errors.
func Parse(name string, text []byte) (*Script, error) {
	s := &Script{Seed: 1, ReleaseTime: time.Second, MaxAttempts: 5}
	err := config.Decode(name, text, s, func(report func(path, format string, args ...any)) { s.validate(report) })
	if err != nil {
		return nil, err
	}
	s.expandDispatchers()
	return s, nil
}

// validate reports all invalid values.
func (s *Script) validate(report reportFunc) {
	for i := range s.Servers {
		s.Servers[i].validate(fmt.Sprintf("fleet[%d]", i), report)
	}
	if len(s.Dispatchers) == 0 || len(s.Classes) == 0 || s.Duration <= 0 {
		report("dispatchers", "script must have at least one dispatcher, at least one class and a duration above 0")
	}
	servers, dispatchers := len(s.EngineSpecs()), s.dispatcherCount()
	for i := range s.Faults {
		s.Faults[i].validate(fmt.Sprintf("troubles[%d]", i), servers, dispatchers, report)
	}
}

func (g *ServerGroup) validate(path string, report reportFunc) {
	if g.Role == "" {
		report(path+".role", "is empty, must be prefill, decode or mixed")
	}
	if g.Count < 1 || g.Slots < 1 || g.RequestsPerSecond <= 0 {
		report(path, "count, slots and requests_per_second must be above 0")
	}
	if g.TransferRate < 0 { // 0 = default
		report(path+".moves_per_second", "is %v, must be at least 0", g.TransferRate)
	}
	if g.Role != Decode && g.PrefillRate <= 0 {
		report(path+".reads_per_second", "is %v, must be above 0 for a server that prefills", g.PrefillRate)
	}
	if g.Role != Prefill && g.TokenInterval <= 0 {
		report(path+".token_gap", "is %v, must be above 0 for a server that decodes", g.TokenInterval)
	}
}

// validate reports invalid values of a fault in a script with the given numbers of servers and dispatchers.
func (f *Fault) validate(path string, servers, dispatchers int, report reportFunc) {
	if _, ok := faultKinds[f.Kind]; !ok {
		report(path+".kind", "is %q, must be one of %v", f.Kind, FaultKinds())
	}
	for _, number := range f.Servers {
		if number < 1 || number > servers {
			report(path+".servers", "is %d, must be 1 to %d", number, servers)
		}
	}
	if f.Dispatcher < 0 || f.Dispatcher >= dispatchers {
		report(path+".dispatcher", "is %d, must be 0 to %d", f.Dispatcher, dispatchers-1)
	}
}

// dispatcherCount returns the number of dispatchers that the script describes.
func (s *Script) dispatcherCount() int {
	count := 0
	for _, d := range s.Dispatchers {
		count += max(d.Count, 1)
	}
	return count
}

// expandDispatchers replaces each dispatcher with a count by that number of single dispatchers.
func (s *Script) expandDispatchers() {
	var all []Dispatcher
	for _, d := range s.Dispatchers {
		for range max(d.Count, 1) {
			all = append(all, Dispatcher{Zone: d.Zone})
		}
	}
	s.Dispatchers = all
}
