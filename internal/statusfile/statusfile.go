// Package statusfile writes the state of a dispatcher to a file, reads the file and prints it as a table.
package statusfile

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"docksail/internal/grpcnode"
)

// Format is the version of the file format. Each file contains the version in which it was written.
const Format = 1

const filePermissions = 0o600

// File is the content of a status file.
type File struct {
	Format    int             `json:"format"`
	WrittenAt time.Time       `json:"at"`
	Status    grpcnode.Status `json:"View"`
}

// FormatError reports a file whose format version is not supported.
type FormatError struct {
	Name   string // name of the file
	Format int
}

// Error returns the name of the file with the found and the supported version.
func (e *FormatError) Error() string {
	return fmt.Sprintf("%s: file format version is %d, must be %d", e.Name, e.Format, Format)
}

// Write writes a status to a file, which it replaces atomically: readers see either the former content or the new one.
func Write(name string, status grpcnode.Status, now time.Time) error {
	text, err := json.Marshal(File{Format: Format, WrittenAt: now, Status: status})
	if err != nil {
		return err
	}
	temporary := name + ".next"
	if err := os.WriteFile(temporary, text, filePermissions); err != nil {
		return err
	}
	return os.Rename(temporary, name)
}

// Read reads a status file. The error is a *FormatError if the file has another format version.
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
