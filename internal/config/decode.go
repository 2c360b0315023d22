// Package config reads the settings of a dispatcher: JSON with comments, checked strictly. An error names the
// file, the line, the field and what was wanted; all errors of a file are told at once.
package config

import (
	"bytes"
	"encoding"
	"errors"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Raw is a field that is kept as it stands, to be read by somebody else.
type Raw []byte

// decoder fills a value from a parsed text and remembers on which line each field stands.
type decoder struct {
	name     string
	text     []byte
	lines    map[string]int
	errs     []error
	warnings []string // names that have others by now
}

// renamed is a type of which some texts had other names in the release before.
type renamed interface {
	encoding.TextUnmarshaler
	FormerNames() map[string]string
}

// warnRenamed takes down that something is written by the name it had in the release before.
func (d *decoder) warnRenamed(path, former, name string) {
	d.warnings = append(d.warnings, fmt.Sprintf("%s:%d: %s: %q is called %q now; the next release will not read it", d.name,
		max(d.lines[path], 1), path, former, name))
}

func (d *decoder) line(offset int) int {
	return 1 + bytes.Count(d.text[:min(offset, len(d.text))], []byte{'\n'})
}

// bad takes down what is wrong with the field at a path.
func (d *decoder) bad(path, format string, args ...any) {
	line, at := 0, path
	for line == 0 && at != "" {
		line = d.lines[at]
		if i := strings.LastIndexAny(at, ".["); i >= 0 {
			at = at[:i]
		} else {
			at = ""
		}
	}
	d.errs = append(d.errs, fmt.Errorf("%s:%d: %s: %s", d.name, max(line, 1), path, fmt.Sprintf(format, args...)))
}

// decode parses the text into the struct that v points to. Fields are named by the tag json; those with the
// tag need must be there. The tag was has the name of a field in the release before, which is read with a warning.
func (d *decoder) decode(v any) {
	tree, err := hujson.Parse(d.text)
	if err != nil {
		d.errs = append(d.errs, fmt.Errorf("%s: %w", d.name, err))
		return
	}
	d.value(tree, reflect.ValueOf(v).Elem(), "")
}

func (d *decoder) value(v hujson.Value, to reflect.Value, path string) {
	if _, ok := d.lines[path]; !ok {
		d.lines[path] = d.line(v.StartOffset)
	}
	if to.Type() == reflect.TypeFor[Raw]() {
		to.SetBytes(v.Pack())
		return
	}
	if to.CanAddr() {
		if u, ok := to.Addr().Interface().(encoding.TextUnmarshaler); ok {
			if text, ok := d.text1(v, path); ok {
				d.unmarshalText(u, text, path)
			}
			return
		}
	}
	if to.Type() == reflect.TypeFor[time.Duration]() {
		if text, ok := d.text1(v, path); ok {
			t, err := time.ParseDuration(text)
			if err != nil {
				d.bad(path, "%q is no length of time, want one as \"250ms\" or \"2s\"", text)
			}
			to.SetInt(int64(t))
		}
		return
	}
	switch to.Kind() {
	case reflect.Struct:
		d.object(v, to, path)
	case reflect.Slice:
		list, ok := v.Value.(*hujson.Array)
		if !ok {
			d.bad(path, "want a list, not %s", kind(v))
			return
		}
		for i, e := range list.Elements {
			to.Set(reflect.Append(to, reflect.Zero(to.Type().Elem())))
			d.value(e, to.Index(i), fmt.Sprintf("%s[%d]", path, i))
		}
	case reflect.String:
		if text, ok := d.text1(v, path); ok {
			to.SetString(text)
		}
	case reflect.Bool:
		lit, ok := v.Value.(hujson.Literal)
		if !ok || lit.Kind() != 't' && lit.Kind() != 'f' {
			d.bad(path, "want true or false, not %s", kind(v))
			return
		}
		to.SetBool(lit.Bool())
	case reflect.Int, reflect.Int32, reflect.Int64, reflect.Uint64:
		lit, ok := v.Value.(hujson.Literal)
		if !ok || lit.Kind() != '0' {
			d.bad(path, "want a whole number, not %s", kind(v))
			return
		}
		n, err := strconv.ParseInt(string(lit), 10, 64)
		if err != nil || to.Kind() == reflect.Uint64 && n < 0 || to.CanInt() && to.OverflowInt(n) {
			d.bad(path, "want a whole number, not %s", lit)
		} else if to.Kind() == reflect.Uint64 {
			to.SetUint(uint64(n))
		} else {
			to.SetInt(n)
		}
	case reflect.Float64:
		lit, ok := v.Value.(hujson.Literal)
		if !ok || lit.Kind() != '0' {
			d.bad(path, "want a number, not %s", kind(v))
			return
		}
		x, err := strconv.ParseFloat(string(lit), 64)
		if err != nil || math.IsInf(x, 0) {
			d.bad(path, "want a number, not %s", lit)
		}
		to.SetFloat(x)
	default:
		panic("setup: no decoding for " + to.Type().String())
	}
}

// unmarshalText has a value read its text, by a former name too.
func (d *decoder) unmarshalText(u encoding.TextUnmarshaler, text, path string) {
	if r, ok := u.(renamed); ok {
		if name, former := r.FormerNames()[text]; former {
			d.warnRenamed(path, text, name)
			text = name
		}
	}
	if err := u.UnmarshalText([]byte(text)); err != nil {
		d.bad(path, "%v", err)
	}
}

func (d *decoder) object(v hujson.Value, to reflect.Value, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.bad(path, "want an object, not %s", kind(v))
		return
	}
	fields, former := map[string]int{}, map[string]string{}
	var names []string
	for i := range to.NumField() {
		tag := to.Type().Field(i).Tag
		name := tag.Get("json")
		if name == "" {
			continue
		}
		fields[name] = i
		names = append(names, name)
		if was := tag.Get("was"); was != "" {
			former[was] = name
		}
	}
	seen := map[string]bool{}
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		at := join(path, name)
		d.lines[at] = d.line(m.Name.StartOffset)
		if now, ok := former[name]; ok {
			d.warnRenamed(at, name, now)
			name, at = now, join(path, now)
			d.lines[at] = d.line(m.Name.StartOffset)
		}
		i, ok := fields[name]
		switch {
		case !ok:
			d.bad(at, "no such field, want one of %s", strings.Join(names, ", "))
		case seen[name]:
			d.bad(at, "stands twice")
		default:
			d.value(m.Value, to.Field(i), at)
		}
		seen[name] = true
	}
	for _, name := range names {
		if f := to.Type().Field(fields[name]); !seen[name] && f.Tag.Get("need") != "" {
			d.bad(join(path, name), "is missing, want %s", f.Tag.Get("need"))
		}
	}
}

func (d *decoder) text1(v hujson.Value, path string) (string, bool) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		d.bad(path, "want a text, not %s", kind(v))
		return "", false
	}
	return lit.String(), true
}

func kind(v hujson.Value) string {
	switch lit := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	case hujson.Literal:
		return string(lit)
	}
	return "nothing"
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (d *decoder) err() error { return errors.Join(d.errs...) }
