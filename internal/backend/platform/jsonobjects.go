package platform

import (
	"fmt"

	"docksail/internal/h1"
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

// atBoundary reports whether the stream is between two objects.
func (s *objectSplitter) atBoundary() bool { return s.depth == 0 }

// feed calls handle for each object that is complete with p, and returns the first error that it returns. It also
// returns an error for anything else than white space between objects, and h1.ErrBodyTooLarge for an object that
// exceeds maxListObjectBytes.
func (s *objectSplitter) feed(p []byte, handle func(text []byte) error) error {
	start := 0 // of the open object in p
	for i, c := range p {
		if s.quoted {
			s.advanceString(c)
			continue
		}
		if s.depth == 0 && !mayFollowObject(c) {
			return fmt.Errorf("%q between two objects of the list", c)
		}
		switch c {
		case '"':
			s.quoted = true
		case '{', '[':
			if s.depth == 0 {
				start = i
			}
			s.depth++
		case '}', ']':
			s.depth--
			if s.depth > 0 {
				continue
			}
			if err := s.complete(p[start:i+1], handle); err != nil {
				return err
			}
			start = i + 1
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

// advanceString takes the next byte of a string.
func (s *objectSplitter) advanceString(c byte) {
	if s.escaped {
		s.escaped = false
		return
	}
	s.escaped, s.quoted = c == '\\', c != '"'
}

// mayFollowObject reports whether c may stand between two objects or begin the next.
func mayFollowObject(c byte) bool {
	switch c {
	case '{', '[', ' ', '\t', '\r', '\n':
		return true
	}
	return false
}

// complete hands over an object of which end is the last piece.
func (s *objectSplitter) complete(end []byte, handle func(text []byte) error) error {
	text := end
	if len(s.partial) > 0 {
		s.partial = append(s.partial, end...)
		text = s.partial
	}
	if err := handle(text); err != nil {
		return err
	}
	s.partial = nil // not reused: a full list is long, and the changes that follow it are short
	return nil
}
