package platform

import (
	"docksail/internal/h1"
	"fmt"
)

const maxListObjectBytes = 8 << 20 // bytes of one object

// objectSplitter takes a stream of JSON objects apart, however they are indented, cut into pieces or set apart.
type objectSplitter struct {
	text   []byte // of the object that has come in part
	depth  int    // brackets open in it
	quoted bool
	escape bool
}

// atBoundary tells that nothing of an object is open.
func (s *objectSplitter) atBoundary() bool { return s.depth == 0 }

// feed hands over each object that has come whole.
func (s *objectSplitter) feed(p []byte, take func(text []byte) error) error {
	begun := 0 // where in p the text under way goes on
	for i, c := range p {
		switch {
		case s.escape:
			s.escape = false
		case s.quoted:
			s.escape, s.quoted = c == '\\', c != '"'
		case c == '"' && s.depth > 0:
			s.quoted = true
		case c == '{' || c == '[':
			if s.depth == 0 {
				begun = i
			}
			s.depth++
		case (c == '}' || c == ']') && s.depth > 0:
			if s.depth--; s.depth > 0 {
				break
			}
			text := p[begun : i+1]
			if len(s.text) > 0 {
				text = append(s.text, text...)
			}
			begun = i + 1
			if err := take(text); err != nil {
				return err
			}
			s.text = nil // lists are long and news short: the room is not kept
		case s.depth == 0 && c != ' ' && c != '\t' && c != '\r' && c != '\n':
			return fmt.Errorf("%q between two objects of the list", c)
		}
	}
	if s.depth > 0 {
		if s.text = append(s.text, p[begun:]...); len(s.text) > maxListObjectBytes {
			return h1.ErrBodyTooLarge
		}
	}
	return nil
}
