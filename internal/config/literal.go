package config

import (
	"encoding"
	"math"
	"reflect"
	"strconv"
	"time"

	"github.com/tailscale/hujson"
)

// Results of hujson.Literal.Kind.
const (
	textKind   = '"'
	numberKind = '0'
	trueKind   = 't'
	falseKind  = 'f'
)

// textLiteral returns the value of a string, or records an error and returns false if v is not a string.
func (d *decoder) textLiteral(v hujson.Value, path string) (string, bool) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != textKind {
		d.addError(path, "must be a string, not %s", d.describe(v))
		return "", false
	}
	return literal.String(), true
}

// numberLiteral returns the text of a number, or records an error and returns false if v is not a number. expected
// describes the number in the error.
func (d *decoder) numberLiteral(v hujson.Value, path, expected string) (string, bool) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != numberKind {
		d.addError(path, "must be %s, not %s", expected, d.describe(v))
		return "", false
	}
	return string(literal), true
}

// decodeText decodes v with u, after it has replaced a former name by the current one.
func (d *decoder) decodeText(v hujson.Value, u encoding.TextUnmarshaler, path string) {
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
		d.addError(path, "%v", err)
	}
}

func (d *decoder) decodeDuration(v hujson.Value, target reflect.Value, path string) {
	text, ok := d.textLiteral(v, path)
	if !ok {
		return
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		d.addError(path, "%q is not a duration such as \"250ms\" or \"2s\"", text)
	}
	target.SetInt(int64(value))
}

func (d *decoder) decodeBool(v hujson.Value, target reflect.Value, path string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != trueKind && literal.Kind() != falseKind {
		d.addError(path, "must be true or false, not %s", d.describe(v))
		return
	}
	target.SetBool(literal.Bool())
}

func (d *decoder) decodeInteger(v hujson.Value, target reflect.Value, path string) {
	const expected = "an integer"
	text, ok := d.numberLiteral(v, path, expected)
	if !ok {
		return
	}
	value, err := strconv.ParseInt(text, 10, 64)
	unsigned := target.Kind() == reflect.Uint64
	switch {
	case err != nil || unsigned && value < 0 || target.CanInt() && target.OverflowInt(value):
		d.addError(path, "must be %s, not %s", expected, text)
	case unsigned:
		target.SetUint(uint64(value))
	default:
		target.SetInt(value)
	}
}

func (d *decoder) decodeFloat(v hujson.Value, target reflect.Value, path string) {
	const expected = "a number"
	text, ok := d.numberLiteral(v, path, expected)
	if !ok {
		return
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsInf(value, 0) {
		d.addError(path, "must be %s, not %s", expected, text)
	}
	target.SetFloat(value)
}
