package platform

import (
	"docksail/internal/h1"
	"fmt"
)

// maxListObjectBytes limits one object of the stream that discovery sends.
const maxListObjectBytes = 8 << 20

// objectSplitter splits a stream of JSON objects and arrays, whatever white space is between them and however the
// stream is cut into pieces.
type objectSplitter struct {
	partial []byte // the start of an object whose end has not come yet
	depth   int    // of open brackets
	quoted  bool   // within a string
	escaped bool   // the next byte belongs to an escape sequence
}

// position is where a byte stands in the stream.
type position uint8

const (
	withinOrBetween position = iota // within an object, or white space between two
	objectStart
	objectEnd
	invalidBetween // another byte than white space between two objects
)

// atBoundary reports whether the stream is between two objects.
func (s *objectSplitter) atBoundary() bool { return s.depth == 0 }

// feed calls handle for each object that is complete with p, and returns the first error that it returns. It also
// returns an error for anything else than white space between objects, and h1.ErrBodyTooLarge for an object that
// exceeds maxListObjectBytes.
func (s *objectSplitter) feed(p []byte, handle func(text []byte) error) error {
	start := 0 // of the open object in p
	for i, c := range p {
		switch s.advance(c) {
		case withinOrBetween:
		case objectStart:
			start = i
		case objectEnd:
			text := p[start : i+1]
			if len(s.partial) > 0 {
				text = append(s.partial, text...)
			}
			start = i + 1
			if err := handle(text); err != nil {
				return err
			}
			s.partial = nil // not reused: a full list is long, and the changes that follow it are short
		case invalidBetween:
			return fmt.Errorf("%q between two objects of the list", c)
		}
	}
	if s.depth == 0 {
		return nil
	}
	if s.partial = append(s.partial, p[start:]...); len(s.partial) > maxListObjectBytes {
		return h1.ErrBodyTooLarge
	}
	return nil
}

// advance takes the next byte of the stream and returns its position.
func (s *objectSplitter) advance(c byte) position {
	switch {
	case s.escaped:
		s.escaped = false
	case s.quoted:
		s.escaped, s.quoted = c == '\\', c != '"'
	case s.depth == 0:
		return s.advanceBetween(c)
	case c == '"':
		s.quoted = true
	case c == '{' || c == '[':
		s.depth++
	case c == '}' || c == ']':
		s.depth--
		if s.depth == 0 {
			return objectEnd
		}
	}
	return withinOrBetween
}

// advanceBetween is advance between two objects.
func (s *objectSplitter) advanceBetween(c byte) position {
	switch c {
	case '{', '[':
		s.depth = 1
		return objectStart
	case ' ', '\t', '\r', '\n':
		return withinOrBetween
	}
	return invalidBetween
}
