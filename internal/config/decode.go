// Package config reads the configuration of a dispatcher: JSON with comments, checked strictly. Each error names the
// file, the line, the field and what is permitted. All errors of a file are returned together.
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
	nameTag       = "json"   // name of the field; fields without a name are ignored
	formerNameTag = "was"    // name of the field in the previous release, which is read with a warning
	requiredTag   = "need"   // description of a field that must be present
	secretTag     = "secret" // set for a field of whose text errors show nothing
)

// Raw is the unparsed text of a field, which the caller decodes.
type Raw []byte

// Decode decodes JSON with comments into the struct that v points to; name stands for the file in errors. Fields are
// named by the tag json, and those with the tag need must be present; former names are read without a warning. If all
// fields have the right types and check is not nil, check is called; it calls report for each invalid value with the
// path of its field.
func Decode(
	name string, text []byte, v any, check func(report func(path, format string, args ...any)),
) error {
	d := newDecoder(name, text)
	d.decode(v)
	if len(d.errs) == 0 && check != nil {
		check(d.addError)
	}
	return d.err()
}

// decoder decodes a text and records the line of each field.
type decoder struct {
	name     string // name of the file
	text     []byte
	lines    map[string]int // by path
	errs     []error
	inSecret bool     // the field that is being decoded, or one around it, has the tag secretTag
	warnings []string // one for each former name that was read
}

func newDecoder(name string, text []byte) *decoder {
	return &decoder{name: name, text: text, lines: map[string]int{}}
}

// renamer is implemented by a type some of whose values had other names in the previous release.
type renamer interface {
	encoding.TextUnmarshaler
	FormerNames() map[string]string
}

// err returns all errors as one, or nil.
func (d *decoder) err() error { return errors.Join(d.errs...) }

// addError records an error about the field at a path.
func (d *decoder) addError(path, format string, args ...any) {
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

// warnRenamed records that a former name was read.
func (d *decoder) warnRenamed(path, former, name string) {
	d.warnings = append(d.warnings, fmt.Sprintf("%s:%d: %s: %q is deprecated, use %q; the next release will reject it",
		d.name, max(d.lines[path], 1), path, former, name))
}

// lineOf returns the number of the line at an offset of the text.
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
	d.decodeValue(root, reflect.ValueOf(v).Elem(), "")
}

// decodeValue decodes v into target, which decodes itself if its type implements encoding.TextUnmarshaler.
func (d *decoder) decodeValue(v hujson.Value, target reflect.Value, path string) {
	if _, ok := d.lines[path]; !ok {
		d.lines[path] = d.lineOf(v.StartOffset)
	}
	if target.Type() == reflect.TypeFor[Raw]() {
		target.SetBytes(v.Pack())
		return
	}
	if target.CanAddr() {
		if u, ok := reflect.TypeAssert[encoding.TextUnmarshaler](target.Addr()); ok {
			d.decodeText(v, u, path)
			return
		}
	}
	if target.Type() == reflect.TypeFor[time.Duration]() {
		d.decodeDuration(v, target, path)
		return
	}
	d.decodeKind(v, target, path)
}

// decodeKind decodes v into a target of a basic kind, a struct or a slice.
func (d *decoder) decodeKind(v hujson.Value, target reflect.Value, path string) {
	switch target.Kind() {
	case reflect.Struct:
		d.decodeObject(v, target, path)
	case reflect.Slice:
		d.decodeList(v, target, path)
	case reflect.String:
		if text, ok := d.textLiteral(v, path); ok {
			target.SetString(text)
		}
	case reflect.Bool:
		d.decodeBool(v, target, path)
	case reflect.Int, reflect.Int32, reflect.Int64, reflect.Uint64:
		d.decodeInteger(v, target, path)
	case reflect.Float64:
		d.decodeFloat(v, target, path)
	default:
		panic("config: type not supported: " + target.Type().String())
	}
}

func (d *decoder) decodeList(v hujson.Value, target reflect.Value, path string) {
	list, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addError(path, "must be a list, not %s", d.describe(v))
		return
	}
	for i, element := range list.Elements {
		target.Set(reflect.Append(target, reflect.Zero(target.Type().Elem())))
		d.decodeValue(element, target.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *decoder) decodeObject(v hujson.Value, target reflect.Value, path string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addError(path, "must be an object, not %s", d.describe(v))
		return
	}
	fields := fieldsOf(target.Type())
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
		case !ok && d.inSecret:
			d.addError(path, "has an unknown field, must be one of %s", strings.Join(fields.names, ", "))
		case !ok:
			d.addError(memberPath, "unknown field, must be one of %s", strings.Join(fields.names, ", "))
		case seen[name]:
			d.addError(memberPath, "is set twice")
		default:
			d.decodeField(member.Value, target, index, memberPath)
		}
		seen[name] = true
	}
	for _, name := range fields.names {
		if description := target.Type().Field(fields.index[name]).Tag.Get(requiredTag); !seen[name] && description != "" {
			d.addError(joinPath(path, name), "is missing: %s", description)
		}
	}
}

// decodeField decodes v into a field of the struct target.
func (d *decoder) decodeField(v hujson.Value, target reflect.Value, index int, path string) {
	outer := d.inSecret
	d.inSecret = outer || target.Type().Field(index).Tag.Get(secretTag) != ""
	d.decodeValue(v, target.Field(index), path)
	d.inSecret = outer
}

// structFields describes the fields of a struct that are decoded.
type structFields struct {
	names   []string          // in the order of the fields
	index   map[string]int    // index in the struct by name
	renamed map[string]string // current name by former name
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

// describe returns a description of a value of the wrong type for an error.
func (d *decoder) describe(v hujson.Value) string {
	switch value := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	case hujson.Literal:
		if d.inSecret {
			return "what is there"
		}
		return string(value)
	}
	return "nothing"
}
