package config

import (
	"bytes"
	"encoding/json"
	"reflect"
	"time"

	"docksail/policy"
)

// MarshalText gives the name.
func (e Idempotency) MarshalText() ([]byte, error) {
	return []byte([]string{policy.Idempotent: "idempotent", policy.Deduplicated: "deduplicated", policy.NonIdempotent: "non_idempotent"}[e]), nil
}

// MarshalText gives the name.
func (g DedupScope) MarshalText() ([]byte, error) {
	return []byte([]string{policy.DedupScopeAll: "all", policy.DedupScopeZone: "zone", policy.DedupScopeCell: "cell"}[g]), nil
}

// Print gives what is in force, in the form in which Parse reads it: every field, lengths of time as texts.
func (s *Dispatcher) Print() ([]byte, error) { return Print(*s) }

// Print gives any struct that Decode reads in the form in which it does.
func Print(v any) ([]byte, error) {
	var b bytes.Buffer
	if err := write(&b, reflect.ValueOf(v)); err != nil {
		return nil, err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, b.Bytes(), "", "  "); err != nil {
		return nil, err
	}
	return append(out.Bytes(), '\n'), nil
}

// write keeps the order of fields, which a map would not.
func write(b *bytes.Buffer, v reflect.Value) error {
	if t, ok := v.Interface().(time.Duration); ok {
		return write(b, reflect.ValueOf(t.String()))
	}
	if _, ok := v.Interface().(json.Marshaler); !ok && v.Kind() == reflect.Struct && v.NumField() > 0 && v.Type().Field(0).Tag.Get("json") != "" {
		b.WriteByte('{')
		for i := range v.NumField() {
			name := v.Type().Field(i).Tag.Get("json")
			if name == "" {
				continue
			}
			if i > 0 {
				b.WriteByte(',')
			}
			b.WriteString(`"` + name + `":`)
			if err := write(b, v.Field(i)); err != nil {
				return err
			}
		}
		b.WriteByte('}')
		return nil
	}
	if v.Kind() == reflect.Slice {
		b.WriteByte('[')
		for i := range v.Len() {
			if i > 0 {
				b.WriteByte(',')
			}
			if err := write(b, v.Index(i)); err != nil {
				return err
			}
		}
		b.WriteByte(']')
		return nil
	}
	text, err := json.Marshal(v.Interface())
	b.Write(text)
	return err
}
