package config

import (
	"bytes"
	"encoding/json"
	"reflect"
	"time"
)

// Print returns the configuration in the form that Parse reads. It contains every field; durations are strings.
func (d *Dispatcher) Print() ([]byte, error) { return Print(*d) }

// Print returns a struct in the form that Decode reads, with its fields in their order.
func Print(v any) ([]byte, error) {
	var compact, indented bytes.Buffer
	if err := printValue(&compact, reflect.ValueOf(v)); err != nil {
		return nil, err
	}
	if err := json.Indent(&indented, compact.Bytes(), "", "  "); err != nil {
		return nil, err
	}
	indented.WriteByte('\n')
	return indented.Bytes(), nil
}

func printValue(b *bytes.Buffer, v reflect.Value) error {
	if duration, ok := reflect.TypeAssert[time.Duration](v); ok {
		return printValue(b, reflect.ValueOf(duration.String()))
	}
	switch {
	case v.Kind() == reflect.Slice:
		return printList(b, v)
	case v.Kind() == reflect.Struct && hasNamedFields(v):
		return printObject(b, v)
	}
	text, err := json.Marshal(v.Interface())
	b.Write(text)
	return err
}

// hasNamedFields reports whether a struct is printed field by field and not by its MarshalJSON method.
func hasNamedFields(v reflect.Value) bool {
	if _, ok := reflect.TypeAssert[json.Marshaler](v); ok {
		return false
	}
	return v.NumField() > 0 && v.Type().Field(0).Tag.Get(nameTag) != ""
}

// printObject prints the fields of a struct that have a name. The first field must have one.
func printObject(b *bytes.Buffer, v reflect.Value) error {
	b.WriteByte('{')
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get(nameTag)
		if name == "" {
			continue
		}
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(`"` + name + `":`)
		if err := printValue(b, v.Field(i)); err != nil {
			return err
		}
	}
	b.WriteByte('}')
	return nil
}

func printList(b *bytes.Buffer, v reflect.Value) error {
	b.WriteByte('[')
	for i := range v.Len() {
		if i > 0 {
			b.WriteByte(',')
		}
		if err := printValue(b, v.Index(i)); err != nil {
			return err
		}
	}
	b.WriteByte(']')
	return nil
}
