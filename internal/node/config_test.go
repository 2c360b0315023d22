package node

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestLoadConfig checks that an invalid configuration causes an error that names its file, but an invalid initial list
// or seed does not.
func TestLoadConfig(t *testing.T) {
	const list = `{"version":41,"full":true,"servers":[
		{"id":"a","addr":"127.0.0.1:1","zone":"z","kind":"prefill","cell":"x","state":"Ready"},
		{"id":"b","addr":"127.0.0.1:2","zone":"z","kind":"prefill","cell":1,"state":"Ready"}]}`
	const template = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"8c1f",` +
		`"limits":{"memory_mb":64,"sockets":512},"known":%s,"settings":{}}`
	withList := func(list string) string { return fmt.Sprintf(template, list) }
	for _, c := range []struct {
		name, text         string
		fails              bool
		endpoints, invalid int
	}{
		{"complete", withList(`{"version":1,"full":true,"servers":[]}`), false, 0, 0},
		{"one list entry invalid", withList(list), false, 2, 1},
		{"list is a string", withList(`"none"`), false, 0, 1},
		{"list is null", withList(`null`), false, 0, 0},
		{"seed is not a number", strings.Replace(withList(`{}`), "8c1f", "north", 1), false, 0, 0},
		{"truncated", template[:40], true, 0, 0},
		{"settings missing", strings.Replace(withList(`{}`), `,"settings":{}`, "", 1), true, 0, 0},
		{"discovery address invalid", strings.Replace(withList(`{}`), "127.0.0.1:9", "nowhere", 1), true, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			name := filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(name, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			config, err := LoadConfig(func(variable string) string {
				if variable == configVariable {
					return name
				}
				return ""
			})
			if (err != nil) != c.fails || err != nil && !strings.Contains(err.Error(), name) {
				t.Fatal(err)
			}
			if err != nil {
				return
			}
			got := config.InitialList
			if len(got.Endpoints) != c.endpoints || len(got.InvalidEntries) != c.invalid || config.seed() == 0 {
				t.Errorf("got initial list %+v, seed %d", got, config.seed())
			}
		})
	}
}
