package endpointlist

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// fileFormat is the format of saved lists. A file is a line with the SHA-256 digest of the rest, in hexadecimal, and a
// savedList in JSON.
const fileFormat = 1

const digestLength = 2 * sha256.Size

// savedList is the list as a file has it.
type savedList struct {
	Format    int        `json:"format"`
	Version   uint64     `json:"version"`
	Endpoints []Endpoint `json:"hosts"`
}

// Errors of Load, wrapped with the file's name and what was found.
var (
	ErrCorruptFile   = errors.New("corrupt endpoint list file")
	ErrUnknownFormat = errors.New("unknown format of the endpoint list file")
)

// Encode returns the list as Load reads it.
func (l *List) Encode() []byte {
	body, err := json.Marshal(savedList{Format: fileFormat, Version: l.version, Endpoints: l.Endpoints()})
	if err != nil {
		panic(err) // no type in it can fail
	}
	return append([]byte(digest(body)+"\n"), body...)
}

// digest returns the digest of a file's body.
func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Save writes an encoded list to a file, so that after a crash at any point the file is either the old one or the new
// one, complete.
func Save(name string, encoded []byte) error {
	temporary, err := writeTemporary(name, encoded)
	if err != nil {
		return err
	}
	if err := os.Rename(temporary, name); err != nil {
		os.Remove(temporary)
		return err
	}
	return syncDirectory(filepath.Dir(name))
}

// writeTemporary writes and syncs a new file beside the named one, and returns its name. It leaves none on an error.
func writeTemporary(name string, content []byte) (temporary string, err error) {
	f, err := os.CreateTemp(filepath.Dir(name), filepath.Base(name)+".*")
	if err != nil {
		return "", err
	}
	_, err = f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		os.Remove(f.Name())
		return "", err
	}
	return f.Name(), nil
}

// syncDirectory makes a rename in the directory durable.
func syncDirectory(name string) error {
	dir, err := os.Open(name)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

// Load reads a file that Save wrote into an empty list and returns its endpoints. Updates cannot follow it: a full one
// is needed first, as updates since the file was saved were missed. On an error, which wraps ErrCorruptFile or
// ErrUnknownFormat if the file was read, the list stays empty.
func (l *List) Load(name string) ([]Endpoint, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	saved, err := decode(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	endpoints, err := l.Apply(Update{Version: saved.Version, Full: true, Endpoints: saved.Endpoints})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	l.hasFull = false
	return endpoints, nil
}

// decode returns the list that a file holds.
func decode(text []byte) (savedList, error) {
	const headerLength = digestLength + 1
	if len(text) < headerLength {
		return savedList{}, fmt.Errorf("%w: %d bytes, want at least %d", ErrCorruptFile, len(text), headerLength)
	}
	body := text[headerLength:]
	if want, found := string(text[:digestLength]), digest(body); found != want {
		return savedList{}, fmt.Errorf("%w: digest %s, want %s", ErrCorruptFile, found, want)
	}
	var saved savedList
	if err := json.Unmarshal(body, &saved); err != nil {
		return savedList{}, fmt.Errorf("%w: %w", ErrCorruptFile, err)
	}
	if saved.Format != fileFormat {
		return savedList{}, fmt.Errorf("%w: %d, want %d", ErrUnknownFormat, saved.Format, fileFormat)
	}
	return saved, nil
}
