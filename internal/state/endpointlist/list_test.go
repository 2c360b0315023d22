package endpointlist

import (
	"docksail/policy"
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func host(id policy.ServerID, started int64, health policy.Health) Endpoint {
	return Endpoint{
		ID: id, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+id)), Role: policy.Decode, Zone: "a",
		Cell: "c", Health: health, StartedAt: started,
	}
}

func TestVersions(t *testing.T) {
	l := New()
	if _, err := l.Apply(1, false, []Endpoint{host(1, 5, policy.Serving)}); !errors.Is(err, ErrMissedUpdates) {
		t.Fatalf("changes before a full list: %v, want %v", err, ErrMissedUpdates)
	}
	if _, err := l.Apply(7, true, []Endpoint{host(1, 5, policy.Serving), host(2, 5, policy.Serving)}); err != nil {
		t.Fatal(err)
	}
	if told, err := l.Apply(7, false, []Endpoint{host(1, 5, policy.Gone)}); err != nil || told != nil {
		t.Errorf("changes known already: %v, %v", told, err)
	}
	if _, err := l.Apply(9, false, []Endpoint{host(1, 5, policy.Gone)}); !errors.Is(err, ErrMissedUpdates) {
		t.Errorf("a version left out: %v, want %v", err, ErrMissedUpdates)
	}
	if h, _ := l.Find(1); h.Health != policy.Serving {
		t.Error("refused changes were taken")
	}
	if _, err := l.Apply(8, false, []Endpoint{host(3, 5, policy.Serving), {ID: 4}}); err == nil {
		t.Error("a host without address was taken")
	}
	if _, ok := l.Find(3); ok || l.Version() != 7 {
		t.Error("half of refused news was taken")
	}
	if _, err := l.Apply(8, false, []Endpoint{host(1, 0, policy.Gone)}); err != nil {
		t.Fatal(err)
	}
	if h, _ := l.Find(1); h.Health != policy.Gone || h.StartedAt != 5 {
		t.Errorf("after news without a start: %+v", h)
	}
	if told, err := l.Apply(9, false, []Endpoint{host(1, 4, policy.Serving)}); err != nil || len(told) != 0 {
		t.Errorf("news of a process before the known one: %v, %v", told, err)
	}
	if told, _ := l.Apply(20, true, []Endpoint{host(1, 9, policy.Serving)}); len(told) != 2 || told[1].ID != 2 || told[1].Health != policy.Gone {
		t.Errorf("a full list without host 2 told %+v, want it gone", told)
	}
}

// TestFollow: full lists and changes in any mixture leave the same as the last of each host's states.
func TestFollow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, truth := New(), map[policy.ServerID]Endpoint{}
		version := uint64(0)
		for i := range rapid.IntRange(1, 50).Draw(t, "steps") {
			h := host(policy.ServerID(rapid.IntRange(1, 6).Draw(t, "id")), int64(i+1), policy.Health(rapid.IntRange(0, 2).Draw(t, "health")))
			truth[h.ID] = h
			version++
			if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				continue // this news is lost
			}
			if _, err := l.Apply(version, false, []Endpoint{h}); err != nil {
				if !errors.Is(err, ErrMissedUpdates) {
					t.Fatal(err)
				}
				var all []Endpoint
				for _, h := range truth {
					all = append(all, h)
				}
				if _, err := l.Apply(version, true, all); err != nil {
					t.Fatal(err)
				}
			}
			for id, want := range truth {
				if got, ok := l.Find(id); !ok || got != want {
					t.Fatalf("host %d is %+v, want %+v", id, got, want)
				}
			}
		}
	})
}

func TestKept(t *testing.T) {
	name := filepath.Join(t.TempDir(), "list")
	l := New()
	if _, err := l.Apply(3, true, []Endpoint{host(1, 5, policy.Serving), host(2, 0, policy.Draining)}); err != nil {
		t.Fatal(err)
	}
	if err := Save(name, l.Encode()); err != nil {
		t.Fatal(err)
	}
	again := New()
	if told, err := again.Load(name); err != nil || len(told) != 2 || !reflect.DeepEqual(again.Endpoints(), l.Endpoints()) {
		t.Fatalf("came back as %+v, %v", again.Endpoints(), err)
	}
	if _, err := again.Apply(4, false, nil); !errors.Is(err, ErrMissedUpdates) {
		t.Errorf("changes after a kept list: %v, want %v: what was missed is not known", err, ErrMissedUpdates)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	for i := range text { // bit rot and torn writes at every place are found
		bad := append([]byte(nil), text...)
		bad[i] ^= 4
		if err := os.WriteFile(name, bad, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := New().Load(name); err == nil && i != 2*32 {
			t.Fatalf("byte %d changed and not found", i)
		}
		if err := os.WriteFile(name, text[:i], 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := New().Load(name); err == nil {
			t.Fatalf("cut off after %d bytes and not found", i)
		}
	}
	if err := Save(filepath.Join(t.TempDir(), "no", "such", "place"), text); err == nil {
		t.Error("saved where there is no folder")
	}
}
