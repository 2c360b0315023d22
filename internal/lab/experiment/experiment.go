// Package experiment compares variants of a scenario in simulated time. Each variant plays the same seeds; the result
// is the paired difference with its confidence interval, or that no difference is shown.
package experiment

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"docksail/internal/config"
	"docksail/internal/lab/baselinepolicy"
)

// minSeeds is the number of seeds below which nothing can be said about chance.
const minSeeds = 2

// Experiment is a scenario and the variants of it that are compared.
type Experiment struct {
	Script    string    `json:"script" need:"the script of a day"`
	Seeds     int       `json:"seeds" need:"how many seeds each variant plays"`
	FirstSeed int64     `json:"first_seed"`
	Variants  []Variant `json:"variants" need:"a list of variants, the first to compare the others with"`
}

// Variant is the scenario with something changed.
type Variant struct {
	Name      string     `json:"name" need:"a name"`
	Overrides config.Raw `json:"with"`    // fields of the script that differ
	Policy    string     `json:"policy"`  // a baseline policy in the module's place
	Program   string     `json:"program"` // another build, which plays with its own "lab sim"
}

// Load reads an experiment from a file. A relative path of the script is relative to the file's directory.
func Load(file string) (*Experiment, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	e := &Experiment{FirstSeed: 1}
	if err := config.Decode(file, text, e, e.validate); err != nil {
		return nil, err
	}
	if !filepath.IsAbs(e.Script) {
		e.Script = filepath.Join(filepath.Dir(file), e.Script)
	}
	return e, nil
}

// validate reports each invalid field to reject.
func (e *Experiment) validate(reject func(path, format string, args ...any)) {
	if e.Seeds < minSeeds {
		reject("seeds", "%d, want %d or more: one says nothing of chance", e.Seeds, minSeeds)
	}
	if len(e.Variants) == 0 {
		reject("variants", "want one at least")
	}
	for i, v := range e.Variants {
		if v.Policy == "" {
			continue
		}
		if !slices.Contains(baselinepolicy.Names, v.Policy) {
			reject(fmt.Sprintf("variants[%d].policy", i), "%q, want one of %s",
				v.Policy, strings.Join(baselinepolicy.Names, ", "))
		}
		if v.Program != "" {
			reject(fmt.Sprintf("variants[%d]", i), "want a policy or a program, not both")
		}
	}
}

// Override returns the text of a script in which the given top-level fields replace the script's own. Both may have
// comments.
func Override(script []byte, overrides config.Raw) ([]byte, error) {
	if len(overrides) == 0 {
		return script, nil
	}
	fields, err := decodeFields(script)
	if err != nil {
		return nil, err
	}
	overriding, err := decodeFields(overrides)
	if err != nil {
		return nil, err
	}
	maps.Copy(fields, overriding)
	return json.Marshal(fields)
}

// decodeFields returns the top-level fields of a JSON object, which may have comments.
func decodeFields(text []byte) (map[string]json.RawMessage, error) {
	standard, err := hujson.Standardize(slices.Clone(text))
	if err != nil {
		return nil, err
	}
	var fields map[string]json.RawMessage
	return fields, json.Unmarshal(standard, &fields)
}
