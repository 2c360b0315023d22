package config

import (
	"encoding"
	"math"
	"reflect"
	"strconv"
	"time"

	"github.com/tailscale/hujson"
)

// Kinds of a hujson.Literal.
const (
	textKind   = '"'
	numberKind = '0'
	trueKind   = 't'
	falseKind  = 'f'
)

// textLiteral returns the value of a text, or records that v is none and returns false.
func (d *decoder) textLiteral(v hujson.Value, path string) (string, bool) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != textKind {
		d.invalid(path, "want a text, not %s", describe(v))
		return "", false
	}
	return literal.String(), true
}

// numberLiteral returns the text of a number, or records that v is none and returns false. what names the number in
// the error.
func (d *decoder) numberLiteral(v hujson.Value, path, what string) (string, bool) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != numberKind {
		d.invalid(path, "want %s, not %s", what, describe(v))
		return "", false
	}
	return string(literal), true
}

// unmarshaler has u read its text, by its current or its former name.
func (d *decoder) unmarshaler(v hujson.Value, u encoding.TextUnmarshaler, path string) {
	text, ok := d.textLiteral(v, path)
	if !ok {
		return
	}
	if r, ok := u.(renamer); ok {
		if name, former := r.FormerNames()[text]; former {
			d.warnRenamed(path, text, name)
			text = name
		}
	}
	if err := u.UnmarshalText([]byte(text)); err != nil {
		d.invalid(path, "%v", err)
	}
}

func (d *decoder) duration(v hujson.Value, to reflect.Value, path string) {
	text, ok := d.textLiteral(v, path)
	if !ok {
		return
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		d.invalid(path, "%q is no length of time, want one as \"250ms\" or \"2s\"", text)
	}
	to.SetInt(int64(value))
}

func (d *decoder) bool(v hujson.Value, to reflect.Value, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != trueKind && literal.Kind() != falseKind {
		d.invalid(path, "want true or false, not %s", describe(v))
		return
	}
	to.SetBool(literal.Bool())
}

func (d *decoder) integer(v hujson.Value, to reflect.Value, path string) {
	const what = "a whole number"
	text, ok := d.numberLiteral(v, path, what)
	if !ok {
		return
	}
	value, err := strconv.ParseInt(text, 10, 64)
	unsigned := to.Kind() == reflect.Uint64
	switch {
	case err != nil || unsigned && value < 0 || to.CanInt() && to.OverflowInt(value):
		d.invalid(path, "want %s, not %s", what, text)
	case unsigned:
		to.SetUint(uint64(value))
	default:
		to.SetInt(value)
	}
}

func (d *decoder) float(v hujson.Value, to reflect.Value, path string) {
	const what = "a number"
	text, ok := d.numberLiteral(v, path, what)
	if !ok {
		return
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsInf(value, 0) {
		d.invalid(path, "want %s, not %s", what, text)
	}
	to.SetFloat(value)
}
