// Package config reads the configuration of a dispatcher: JSON with comments, checked strictly. An error names the
// file, the line, the field and what was expected; one error lists everything that is wrong with a file.
package config

import (
	"bytes"
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Tags of the fields that are decoded and printed.
const (
	nameTag       = "json" // the field's name; fields without one are left alone
	formerNameTag = "was"  // its name in the previous release, which is read with a warning
	requiredTag   = "need" // what the field is: it must be present
)

// Raw is a field whose text is kept as it is, to be decoded elsewhere.
type Raw []byte

// Decode reads any other text of this kind into the struct that v points to. Fields are named by the tag json, and
// those with the tag need must be present; deprecated names are read without a warning. check may be nil, and is
// called if all fields have the right types: it calls bad for each invalid value with the path of its field.
func Decode(
	name string, text []byte, v any, check func(bad func(path, format string, args ...any)),
) error {
	d := newDecoder(name, text)
	d.decode(v)
	if len(d.errs) == 0 && check != nil {
		check(d.invalid)
	}
	return d.err()
}

// decoder fills a value from a text and remembers on which line each field is.
type decoder struct {
	name     string // of the file
	text     []byte
	lines    map[string]int // by path
	errs     []error
	warnings []string // of deprecated names
}

func newDecoder(name string, text []byte) *decoder {
	return &decoder{name: name, text: text, lines: map[string]int{}}
}

// renamer is a type some of whose texts had other names in the previous release.
type renamer interface {
	encoding.TextUnmarshaler
	FormerNames() map[string]string
}

// err returns all errors as one, or nil.
func (d *decoder) err() error { return errors.Join(d.errs...) }

// invalid records an error about the field at a path.
func (d *decoder) invalid(path, format string, args ...any) {
	d.errs = append(d.errs, fmt.Errorf("%s:%d: %s: %s",
		d.name, max(d.nearestLine(path), 1), path, fmt.Sprintf(format, args...)))
}

// nearestLine returns the line of the field at a path or, if it is not in the text, of the innermost field around it
// that is; 0 if there is none.
func (d *decoder) nearestLine(path string) int {
	for path != "" {
		if line := d.lines[path]; line != 0 {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

// warnRenamed records that a deprecated name was read.
func (d *decoder) warnRenamed(path, former, name string) {
	d.warnings = append(d.warnings, fmt.Sprintf("%s:%d: %s: %q is called %q now; the next release will not read it",
		d.name, max(d.lines[path], 1), path, former, name))
}

func (d *decoder) lineOf(offset int) int {
	return 1 + bytes.Count(d.text[:min(offset, len(d.text))], []byte{'\n'})
}

// decode parses the text into the struct that v points to.
func (d *decoder) decode(v any) {
	root, err := hujson.Parse(d.text)
	if err != nil {
		d.errs = append(d.errs, fmt.Errorf("%s: %w", d.name, err))
		return
	}
	d.value(root, reflect.ValueOf(v).Elem(), "")
}

// value decodes v into to. Types that decode themselves come first, then the kinds.
func (d *decoder) value(v hujson.Value, to reflect.Value, path string) {
	if _, ok := d.lines[path]; !ok {
		d.lines[path] = d.lineOf(v.StartOffset)
	}
	if to.Type() == reflect.TypeFor[Raw]() {
		to.SetBytes(v.Pack())
		return
	}
	if to.CanAddr() {
		if u, ok := reflect.TypeAssert[encoding.TextUnmarshaler](to.Addr()); ok {
			d.unmarshaler(v, u, path)
			return
		}
	}
	if to.Type() == reflect.TypeFor[time.Duration]() {
		d.duration(v, to, path)
		return
	}
	d.kind(v, to, path)
}

// kind decodes a value of a basic kind, a struct or a slice.
func (d *decoder) kind(v hujson.Value, to reflect.Value, path string) {
	switch to.Kind() {
	case reflect.Struct:
		d.object(v, to, path)
	case reflect.Slice:
		d.list(v, to, path)
	case reflect.String:
		if text, ok := d.textLiteral(v, path); ok {
			to.SetString(text)
		}
	case reflect.Bool:
		d.bool(v, to, path)
	case reflect.Int, reflect.Int32, reflect.Int64, reflect.Uint64:
		d.integer(v, to, path)
	case reflect.Float64:
		d.float(v, to, path)
	default:
		panic("config: no decoding for " + to.Type().String())
	}
}

func (d *decoder) list(v hujson.Value, to reflect.Value, path string) {
	list, ok := v.Value.(*hujson.Array)
	if !ok {
		d.invalid(path, "want a list, not %s", describe(v))
		return
	}
	for i, element := range list.Elements {
		to.Set(reflect.Append(to, reflect.Zero(to.Type().Elem())))
		d.value(element, to.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *decoder) object(v hujson.Value, to reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.invalid(path, "want an object, not %s", describe(v))
		return
	}
	fields := fieldsOf(to.Type())
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		memberPath := joinPath(path, name)
		d.lines[memberPath] = d.lineOf(member.Name.StartOffset)
		if current, ok := fields.renamed[name]; ok {
			d.warnRenamed(memberPath, name, current)
			name, memberPath = current, joinPath(path, current)
			d.lines[memberPath] = d.lineOf(member.Name.StartOffset)
		}
		index, ok := fields.index[name]
		switch {
		case !ok:
			d.invalid(memberPath, "no such field, want one of %s", strings.Join(fields.names, ", "))
		case seen[name]:
			d.invalid(memberPath, "stands twice")
		default:
			d.value(member.Value, to.Field(index), memberPath)
		}
		seen[name] = true
	}
	for _, name := range fields.names {
		if what := to.Type().Field(fields.index[name]).Tag.Get(requiredTag); !seen[name] && what != "" {
			d.invalid(joinPath(path, name), "is missing, want %s", what)
		}
	}
}

// structFields describes the fields of a struct that are decoded.
type structFields struct {
	names   []string          // in their order
	index   map[string]int    // of the field with a name
	renamed map[string]string // current names by former names
}

func fieldsOf(t reflect.Type) structFields {
	fields := structFields{index: map[string]int{}, renamed: map[string]string{}}
	for i := range t.NumField() {
		tag := t.Field(i).Tag
		name := tag.Get(nameTag)
		if name == "" {
			continue
		}
		fields.names = append(fields.names, name)
		fields.index[name] = i
		if former := tag.Get(formerNameTag); former != "" {
			fields.renamed[former] = name
		}
	}
	return fields
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// describe returns how errors name a value that has the wrong type.
func describe(v hujson.Value) string {
	switch value := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	case hujson.Literal:
		return string(value)
	}
	return "nothing"
}
