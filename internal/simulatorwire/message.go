package simulatorwire

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"strconv"

	"docksail/internal/platformconfig"
	"docksail/policy"
)

const (
	absent          = "-"  // a field without a value
	maxOptionalReal = 1e18 // largest magnitude of a real number that is read as an integer
)

// message decodes the fields of a line in order and keeps the first error. It is valid until the next line is read.
type message struct {
	name string
	rest []byte // fields not read yet
	err  error
}

func newMessage(line []byte) message {
	m := message{rest: line}
	m.name = string(m.field())
	return m
}

// field returns the next field, which is empty if there is none.
func (m *message) field() []byte {
	field, rest, found := bytes.Cut(m.rest, []byte{' '})
	m.rest = rest
	if !found {
		m.rest = nil
	}
	return field
}

// invalid records an error about a missing or invalid value of a field.
func (m *message) invalid(fieldName string, value []byte) {
	switch {
	case m.err != nil:
	case len(value) == 0:
		m.err = fmt.Errorf("%s: %s is missing", m.name, fieldName)
	default:
		m.err = fmt.Errorf("%s: invalid %s %q", m.name, fieldName, value)
	}
}

// integer reads an integer.
func (m *message) integer(fieldName string) int64 {
	value := m.field()
	n, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil {
		m.invalid(fieldName, value)
	}
	return n
}

// optionalInteger reads a number and truncates it to an integer. An absent number is 0.
func (m *message) optionalInteger(fieldName string) int64 {
	value := m.field()
	if string(value) == absent {
		return 0
	}
	n, err := strconv.ParseInt(string(value), 10, 64)
	if err == nil {
		return n
	}
	x, err := strconv.ParseFloat(string(value), 64)
	if err != nil || math.IsNaN(x) || math.Abs(x) > maxOptionalReal {
		m.invalid(fieldName, value)
		return 0
	}
	return int64(x)
}

// flag reads 0 or 1; an absent flag is false.
func (m *message) flag(fieldName string) bool {
	value := m.field()
	if s := string(value); s != "0" && s != "1" && s != absent {
		m.invalid(fieldName, value)
	}
	return string(value) == "1"
}

// hexKey reads a hexadecimal number. An absent number is 0.
func (m *message) hexKey(fieldName string) uint64 {
	value := m.field()
	if string(value) == absent {
		return 0
	}
	key, err := strconv.ParseUint(string(value), 16, 64)
	if err != nil {
		m.invalid(fieldName, value)
	}
	return key
}

// indexOf returns the index of a value in names. If names does not contain the value, it records an error and returns
// -1.
func (m *message) indexOf(fieldName string, names []string, value []byte) int32 {
	index := slices.IndexFunc(names, func(name string) bool { return name == string(value) })
	if index < 0 {
		m.invalid(fieldName, value)
	}
	return int32(index)
}

// loadReport reads the gauges of a server in the form "name:value,name:value".
func (m *message) loadReport() policy.LoadReport {
	report := policy.NoLoadReport
	gauges := m.field()
	if string(gauges) == absent {
		return report
	}
	for len(gauges) > 0 {
		var gauge []byte
		gauge, gauges, _ = bytes.Cut(gauges, []byte{','})
		name, text, ok := bytes.Cut(gauge, []byte{':'})
		value, err := strconv.ParseFloat(string(text), 64)
		if !ok || err != nil || math.IsNaN(value) {
			m.invalid("gauge", gauge)
			return report
		}
		platformconfig.SetLoadReportField(&report, string(name), value)
	}
	return report
}
