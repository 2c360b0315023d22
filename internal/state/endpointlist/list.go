// Package endpointlist keeps the list of engines as this dispatcher was told it: full lists, changes by version, the
// names of zones and cells by number. It is kept in a file as well, from which a dispatcher that was killed
// starts again with what it knew.
package endpointlist

import (
	"crypto/sha256"
	"docksail/policy"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
)

// Endpoint is one engine of the list.
type Endpoint struct {
	ID        policy.ServerID `json:"id"`
	Address   netip.AddrPort  `json:"address"`
	Role      policy.Role     `json:"role"`
	Zone      string          `json:"zone"`
	Cell      string          `json:"cell"`
	Health    policy.Health   `json:"health"`
	StartedAt int64           `json:"started_unix_ns"` // 0 = long ago, or not told
}

// ErrMissedUpdates says that changes were missed: only a full list helps.
var ErrMissedUpdates = errors.New("changes of the list were missed")

// List is what is known. Make it with New.
type List struct {
	version uint64
	whole   bool // a full list has come
	hosts   map[policy.ServerID]Endpoint
	zones   map[string]policy.ZoneID
	cells   map[[2]string]policy.CellID
}

// New makes a list that knows nothing.
func New() *List {
	return &List{
		hosts: make(map[policy.ServerID]Endpoint), zones: make(map[string]policy.ZoneID),
		cells: make(map[[2]string]policy.CellID),
	}
}

// ZoneID is the number of a zone's name, given at its first mention.
func (l *List) ZoneID(name string) policy.ZoneID {
	n, ok := l.zones[name]
	if !ok {
		n = policy.ZoneID(len(l.zones))
		l.zones[name] = n
	}
	return n
}

// CellID is the number of a cell's name within its zone.
func (l *List) CellID(zone, cell string) policy.CellID {
	n, ok := l.cells[[2]string{zone, cell}]
	if !ok {
		n = policy.CellID(len(l.cells))
		l.cells[[2]string{zone, cell}] = n
	}
	return n
}

// Find gives a host that was ever listed.
func (l *List) Find(id policy.ServerID) (Endpoint, bool) {
	h, ok := l.hosts[id]
	return h, ok
}

// Version is that of the last news.
func (l *List) Version() uint64 { return l.version }

// Endpoints gives all that were ever listed, by id.
func (l *List) Endpoints() []Endpoint {
	hs := make([]Endpoint, 0, len(l.hosts))
	for _, h := range l.hosts {
		hs = append(hs, h)
	}
	slices.SortFunc(hs, func(a, b Endpoint) int { return int(int64(a.ID) - int64(b.ID)) })
	return hs
}

// Apply applies news whole or not at all: ErrMissedUpdates where changes before it were missed or no full list has come
// yet; changes that are known already are no error and change nothing. It gives the entries that are to be told
// on, those that a full list no longer names as gone. An entry older than what is known of its host's start is
// left out: it crossed with the news of a restart.
func (l *List) Apply(version uint64, full bool, hosts []Endpoint) ([]Endpoint, error) {
	if !full {
		switch {
		case !l.whole || version > l.version+1:
			return nil, ErrMissedUpdates
		case version <= l.version:
			return nil, nil
		}
	}
	for _, h := range hosts {
		if !h.Address.IsValid() || h.Address.Port() == 0 {
			return nil, fmt.Errorf("host %d: address %v is none", h.ID, h.Address)
		}
		if h.Role > policy.Mixed {
			return nil, fmt.Errorf("host %d: role %d is unknown", h.ID, h.Role)
		}
	}
	var told []Endpoint
	named := make(map[policy.ServerID]bool, len(hosts))
	for _, h := range hosts {
		named[h.ID] = true
		if was, ok := l.hosts[h.ID]; ok {
			if h.StartedAt == 0 { // not told, as of a host that is gone
				h.StartedAt = was.StartedAt
			} else if h.StartedAt < was.StartedAt {
				continue
			}
		}
		l.hosts[h.ID] = h
		told = append(told, h)
	}
	if full {
		for _, h := range l.Endpoints() {
			if !named[h.ID] && h.Health != policy.Gone {
				h.Health = policy.Gone
				l.hosts[h.ID] = h
				told = append(told, h)
			}
		}
		l.whole = true
	}
	l.version = version
	return told, nil
}

// kept is the list as a file has it.
type kept struct {
	Format  int        `json:"format"`
	Version uint64     `json:"version"`
	Hosts   []Endpoint `json:"hosts"`
}

const format = 1

// Encode gives the list as Load reads it: a line with a digest, then the list.
func (l *List) Encode() []byte {
	body, err := json.Marshal(kept{format, l.version, l.Endpoints()})
	if err != nil {
		panic(err) // no type in it can fail
	}
	sum := sha256.Sum256(body)
	return append([]byte(hex.EncodeToString(sum[:])+"\n"), body...)
}

// Save writes an encoded list so that a crash at any point leaves the old file or the new one, whole.
func Save(name string, encoded []byte) (err error) {
	f, err := os.CreateTemp(filepath.Dir(name), filepath.Base(name)+".*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			f.Close()
			os.Remove(f.Name())
		}
	}()
	if _, err = f.Write(encoded); err != nil {
		return err
	}
	if err = f.Sync(); err != nil {
		return err
	}
	if err = f.Close(); err != nil {
		return err
	}
	if err = os.Rename(f.Name(), name); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(name))
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

// Load reads what Save wrote into an empty list and gives its hosts. A file that is damaged or of another
// format is named in the error, and nothing of it is taken.
func (l *List) Load(name string) ([]Endpoint, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	const digest = 2 * sha256.Size
	if len(text) < digest+1 {
		return nil, fmt.Errorf("%s: cut off after %d bytes", name, len(text))
	}
	sum := sha256.Sum256(text[digest+1:])
	if hex.EncodeToString(sum[:]) != string(text[:digest]) {
		return nil, fmt.Errorf("%s: damaged, its digest is another", name)
	}
	var k kept
	if err := json.Unmarshal(text[digest+1:], &k); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if k.Format != format {
		return nil, fmt.Errorf("%s: format %d, want %d", name, k.Format, format)
	}
	told, err := l.Apply(k.Version, true, k.Hosts)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	l.whole = false // what was missed since is not known
	return told, nil
}
