package platform

import (
	"docksail/internal/h1"
	"fmt"
)

const listMost = 8 << 20 // bytes of one object

// values takes a stream of JSON objects apart, however they are indented, cut into pieces or set apart.
type values struct {
	text   []byte // of the object that has come in part
	depth  int    // brackets open in it
	quoted bool
	escape bool
}

// between tells that nothing of an object is open.
func (v *values) between() bool { return v.depth == 0 }

// feed hands over each object that has come whole.
func (v *values) feed(p []byte, take func(text []byte) error) error {
	begun := 0 // where in p the text under way goes on
	for i, c := range p {
		switch {
		case v.escape:
			v.escape = false
		case v.quoted:
			v.escape, v.quoted = c == '\\', c != '"'
		case c == '"' && v.depth > 0:
			v.quoted = true
		case c == '{' || c == '[':
			if v.depth == 0 {
				begun = i
			}
			v.depth++
		case (c == '}' || c == ']') && v.depth > 0:
			if v.depth--; v.depth > 0 {
				break
			}
			text := p[begun : i+1]
			if len(v.text) > 0 {
				text = append(v.text, text...)
			}
			begun = i + 1
			if err := take(text); err != nil {
				return err
			}
			v.text = nil // lists are long and news short: the room is not kept
		case v.depth == 0 && c != ' ' && c != '\t' && c != '\r' && c != '\n':
			return fmt.Errorf("%q between two objects of the list", c)
		}
	}
	if v.depth > 0 {
		if v.text = append(v.text, p[begun:]...); len(v.text) > listMost {
			return h1.ErrTooLarge
		}
	}
	return nil
}
