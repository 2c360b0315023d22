package node

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A configuration that cannot be read is refused by the name of its file; an unreadable list or seed in one does not keep a
// dispatcher from its start.
func TestLoad(t *testing.T) {
	const list = `{"version":41,"full":true,"servers":[{"id":"a","addr":"127.0.0.1:1","zone":"z","kind":"prefill","cell":"x","state":"Ready"},
		{"id":"b","addr":"127.0.0.1:2","zone":"z","kind":"prefill","cell":1,"state":"Ready"}]}`
	whole := `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"8c1f","limits":{"memory_mb":64,"sockets":512},"known":%s,"settings":{}}`
	for _, c := range []struct {
		what, text        string
		fails             bool
		known, unreadable int
	}{
		{"whole", fmt.Sprintf(whole, `{"version":1,"full":true,"servers":[]}`), false, 0, 0},
		{"one entry unreadable", fmt.Sprintf(whole, list), false, 2, 1},
		{"no list", fmt.Sprintf(whole, `"none"`), false, 0, 1},
		{"null", fmt.Sprintf(whole, `null`), false, 0, 0},
		{"odd seed", strings.Replace(fmt.Sprintf(whole, `{}`), "8c1f", "north", 1), false, 0, 0},
		{"half", whole[:40], true, 0, 0},
		{"no settings", strings.Replace(fmt.Sprintf(whole, `{}`), `,"settings":{}`, "", 1), true, 0, 0},
		{"discovery nowhere", strings.Replace(fmt.Sprintf(whole, `{}`), "127.0.0.1:9", "nowhere", 1), true, 0, 0},
	} {
		name := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(name, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		config, err := LoadConfig(func(key string) string {
			if key == "RELAY_CONFIG" {
				return name
			}
			return ""
		})
		if (err != nil) != c.fails || err != nil && !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", c.what, err)
			continue
		}
		if err == nil && (len(config.InitialList.Endpoints) != c.known || len(config.InitialList.InvalidEntries) != c.unreadable || config.seed() == 0) {
			t.Errorf("%s: %+v, seed %d", c.what, config.InitialList, config.seed())
		}
	}
}
