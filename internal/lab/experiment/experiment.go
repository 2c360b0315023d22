// Package experiment compares variants of a scenario in simulated time. All variants run with the same seeds; the
// results are paired differences with their confidence intervals.
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

// minSeeds is the smallest number of seeds for which a confidence interval exists.
const minSeeds = 2

// Experiment is a scenario and the variants of it to compare.
type Experiment struct {
	Script    string    `json:"script" need:"the script of a day"`
	Seeds     int       `json:"seeds" need:"how many seeds each variant plays"`
	FirstSeed int64     `json:"first_seed"`
	Variants  []Variant `json:"variants" need:"a list of variants, the first to compare the others with"`
}

// Variant is the scenario with changed fields, another policy or another program.
type Variant struct {
	Name      string     `json:"name" need:"a name"`
	Overrides config.Raw `json:"with"`    // fields that replace those of the script
	Policy    string     `json:"policy"`  // baseline policy that replaces the decision module
	Program   string     `json:"program"` // another build of docksail, whose "lab sim" runs the script
}

// Load reads an experiment from a file. If the path of the script is relative, it is relative to the directory of the
// file.
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

// validate calls reject for each invalid field.
func (e *Experiment) validate(reject func(path, format string, args ...any)) {
	if e.Seeds < minSeeds {
		reject("seeds", "is %d, must be at least %d to estimate the variation between seeds", e.Seeds, minSeeds)
	}
	if len(e.Variants) == 0 {
		reject("variants", "is empty, must have at least one variant")
	}
	for i, v := range e.Variants {
		if v.Policy == "" {
			continue
		}
		if !slices.Contains(baselinepolicy.Names, v.Policy) {
			reject(fmt.Sprintf("variants[%d].policy", i), "%q is unknown, must be one of %s",
				v.Policy, strings.Join(baselinepolicy.Names, ", "))
		}
		if v.Program != "" {
			reject(fmt.Sprintf("variants[%d]", i), "has both a policy and a program, must have at most one of them")
		}
	}
}

// Override returns the script with the given top-level fields replaced. Both texts may contain comments.
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

// decodeFields returns the top-level fields of a JSON object that may contain comments.
func decodeFields(text []byte) (map[string]json.RawMessage, error) {
	standard, err := hujson.Standardize(slices.Clone(text))
	if err != nil {
		return nil, err
	}
	var fields map[string]json.RawMessage
	return fields, json.Unmarshal(standard, &fields)
}
