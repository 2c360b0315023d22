// Package statusfile writes the state of a dispatcher to a file, reads it back and prints it for people.
package statusfile

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"docksail/internal/grpcnode"
)

// Format is the version of the file's format, which stands in the file.
const Format = 1

const permissions = 0o600

// File is the content of a status file.
type File struct {
	Format    int             `json:"format"`
	WrittenAt time.Time       `json:"at"`
	Status    grpcnode.Status `json:"View"`
}

// FormatError says that a file has a format which this program does not read.
type FormatError struct {
	Name   string // of the file
	Format int
}

// Error returns the formats found and expected.
func (e *FormatError) Error() string {
	return fmt.Sprintf("%s: format %d, want %d", e.Name, e.Format, Format)
}

// Write replaces a file by one with a status. Readers see either the former content or the new one.
func Write(name string, status grpcnode.Status, now time.Time) error {
	text, err := json.Marshal(File{Format: Format, WrittenAt: now, Status: status})
	if err != nil {
		return err
	}
	temporary := name + ".next"
	if err := os.WriteFile(temporary, text, permissions); err != nil {
		return err
	}
	return os.Rename(temporary, name)
}

// Read reads a file. The error is a *FormatError if the file has another format.
func Read(name string) (*File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	file := &File{}
	if err := json.Unmarshal(text, file); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if file.Format != Format {
		return nil, &FormatError{Name: name, Format: file.Format}
	}
	return file, nil
}
