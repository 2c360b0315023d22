package platform

import (
	"fmt"

	"docksail/internal/h1"
)

// maxListObjectBytes is the maximum size of an object in the stream that discovery sends.
const maxListObjectBytes = 8 << 20

// objectSplitter splits a stream into its JSON objects and arrays, which may be separated by white space. It accepts
// the stream in pieces of any size.
type objectSplitter struct {
	partial []byte // the start of an incomplete object
	depth   int    // number of open braces and brackets
	quoted  bool   // within a string
	escaped bool   // the next byte belongs to an escape sequence
}

// atBoundary reports whether the stream is between two objects.
func (s *objectSplitter) atBoundary() bool { return s.depth == 0 }

// feed takes the next piece of the stream and calls handle for each object that p completes. It returns the first error
// of handle, an error if anything but white space is between two objects, and h1.ErrBodyTooLarge for an object longer
// than maxListObjectBytes.
func (s *objectSplitter) feed(p []byte, handle func(text []byte) error) error {
	start := 0 // index in p of the start of the open object
	for i, c := range p {
		if s.quoted {
			s.advanceString(c)
			continue
		}
		if s.depth == 0 && !mayFollowObject(c) {
			return fmt.Errorf("unexpected byte %q between two objects", c)
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

// advanceString processes the next byte of a string.
func (s *objectSplitter) advanceString(c byte) {
	if s.escaped {
		s.escaped = false
		return
	}
	s.escaped, s.quoted = c == '\\', c != '"'
}

// mayFollowObject reports whether c is white space or may begin the next object.
func mayFollowObject(c byte) bool {
	switch c {
	case '{', '[', ' ', '\t', '\r', '\n':
		return true
	}
	return false
}

// complete passes an object to handle whose last piece is end.
func (s *objectSplitter) complete(end []byte, handle func(text []byte) error) error {
	text := end
	if len(s.partial) > 0 {
		s.partial = append(s.partial, end...)
		text = s.partial
	}
	if len(text) > maxListObjectBytes {
		return h1.ErrBodyTooLarge
	}
	if err := handle(text); err != nil {
		return err
	}
	s.partial = nil // freed: a full list is long, and the changes that follow it are short
	return nil
}
