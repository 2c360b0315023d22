package endpointlist

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"docksail/internal/state/durable"
)

// fileFormat is the version of the file format. A file holds the SHA-256 digest of its body in hexadecimal, a newline,
// and the body: a savedList in JSON.
const fileFormat = 1

// digestLength is the number of hexadecimal digits of a digest.
const digestLength = 2 * sha256.Size

// savedList is the JSON body of a file.
type savedList struct {
	Format    int        `json:"format"`
	Version   uint64     `json:"version"`
	Endpoints []Endpoint `json:"hosts"`
}

// Errors returned by Load, wrapped with the file's name and the cause.
var (
	ErrCorruptFile   = errors.New("corrupt endpoint list file")
	ErrUnknownFormat = errors.New("unknown endpoint list file format")
)

// Encode returns the list in the file format that Load reads.
func (l *List) Encode() []byte {
	body, err := json.Marshal(savedList{Format: fileFormat, Version: l.version, Endpoints: l.Endpoints()})
	if err != nil {
		panic(err) // every field of savedList can be marshaled
	}
	return append([]byte(digest(body)+"\n"), body...)
}

// digest returns the digest of a file's body.
func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Save replaces a file by an encoded list. The replacement is atomic: after a crash at any point, the file has either
// its complete old content or its complete new content.
func Save(name string, encoded []byte) error {
	temporary, err := writeTemporary(name, encoded)
	if err != nil {
		return err
	}
	if err := os.Rename(temporary, name); err != nil {
		os.Remove(temporary)
		return err
	}
	return durable.SyncDir(filepath.Dir(name))
}

// writeTemporary writes and syncs a temporary file in the directory of the named file and returns its name. It removes
// the temporary file on an error.
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

// Load reads a file written by Save into an empty list and returns its endpoints. The next update must be a full one,
// because updates since the file was saved may have been missed. On an error the list stays empty; if the file could be
// read, the error wraps ErrCorruptFile, ErrUnknownFormat or an *InvalidEndpointError.
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

// decode returns the list in the content of a file.
func decode(text []byte) (savedList, error) {
	const headerLength = digestLength + 1
	if len(text) < headerLength {
		return savedList{}, fmt.Errorf("%w: size is %d bytes, must be at least %d", ErrCorruptFile, len(text), headerLength)
	}
	body := text[headerLength:]
	if recorded, computed := string(text[:digestLength]), digest(body); computed != recorded {
		return savedList{}, fmt.Errorf("%w: digest of body is %s, header has %s", ErrCorruptFile, computed, recorded)
	}
	var saved savedList
	if err := json.Unmarshal(body, &saved); err != nil {
		return savedList{}, fmt.Errorf("%w: %w", ErrCorruptFile, err)
	}
	if saved.Format != fileFormat {
		return savedList{}, fmt.Errorf("%w: version is %d, must be %d", ErrUnknownFormat, saved.Format, fileFormat)
	}
	return saved, nil
}
