package endpointlist

import (
	"errors"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"docksail/policy"
)

// endpoint returns the endpoint of a decode server.
func endpoint(id policy.ServerID, startedAt int64, health policy.Health) Endpoint {
	address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+id))
	return Endpoint{
		ID: id, Address: address, Role: policy.Decode, Zone: "a", Cell: "c", Health: health, StartedUnixNanos: startedAt,
	}
}

// fullUpdate returns an update with the complete list.
func fullUpdate(version uint64, endpoints ...Endpoint) Update {
	return Update{Version: version, Full: true, Endpoints: endpoints}
}

// partialUpdate returns an update with the changes since the previous version.
func partialUpdate(version uint64, endpoints ...Endpoint) Update {
	return Update{Version: version, Endpoints: endpoints}
}

func TestApplyVersions(t *testing.T) {
	l := New()
	if _, err := l.Apply(partialUpdate(1, endpoint(1, 5, policy.Serving))); !errors.Is(err, ErrMissedUpdates) {
		t.Fatalf("partial update before a full one: %v, want %v", err, ErrMissedUpdates)
	}
	_, err := l.Apply(fullUpdate(7, endpoint(1, 5, policy.Serving), endpoint(2, 5, policy.Serving)))
	if err != nil {
		t.Fatal(err)
	}
	if changed, err := l.Apply(partialUpdate(7, endpoint(1, 5, policy.Gone))); err != nil || changed != nil {
		t.Errorf("partial update that was already applied: %v, %v", changed, err)
	}
	if _, err := l.Apply(partialUpdate(9, endpoint(1, 5, policy.Gone))); !errors.Is(err, ErrMissedUpdates) {
		t.Errorf("partial update after a missed one: %v, want %v", err, ErrMissedUpdates)
	}
	if e, _ := l.Find(1); e.Health != policy.Serving {
		t.Error("a rejected update was applied")
	}
	if _, err := l.Apply(partialUpdate(8, endpoint(1, 0, policy.Gone))); err != nil {
		t.Fatal(err)
	}
	if e, _ := l.Find(1); e.Health != policy.Gone || e.StartedUnixNanos != 5 {
		t.Errorf("after an update without a start time: %+v", e)
	}
	changed, err := l.Apply(partialUpdate(9, endpoint(1, 4, policy.Serving)))
	if err != nil || len(changed) != 0 {
		t.Errorf("update of an earlier incarnation: %v, %v", changed, err)
	}
	changed, _ = l.Apply(fullUpdate(20, endpoint(1, 9, policy.Serving)))
	if len(changed) != 2 || changed[1].ID != 2 || changed[1].Health != policy.Gone {
		t.Errorf("full update without endpoint 2 changed %+v, want endpoint 2 gone", changed)
	}
}

// TestApplyInvalid checks that an update with an invalid endpoint is rejected and changes nothing.
func TestApplyInvalid(t *testing.T) {
	unknownRole := endpoint(4, 5, policy.Serving)
	unknownRole.Role = policy.Mixed + 1
	for name, invalid := range map[string]Endpoint{"no address": {ID: 4}, "unknown role": unknownRole} {
		t.Run(name, func(t *testing.T) {
			l := New()
			if _, err := l.Apply(fullUpdate(7, endpoint(1, 5, policy.Serving))); err != nil {
				t.Fatal(err)
			}
			_, err := l.Apply(partialUpdate(8, endpoint(3, 5, policy.Serving), invalid))
			var invalidError *InvalidEndpointError
			if !errors.As(err, &invalidError) || invalidError.ID != 4 {
				t.Errorf("%v, want an *InvalidEndpointError of endpoint 4", err)
			}
			if _, ok := l.Find(3); ok || l.Version() != 7 {
				t.Error("part of a rejected update was applied")
			}
		})
	}
}

// TestApplyModel checks that the list has the latest state of every endpoint while partial updates are lost at random
// and replaced by full ones.
func TestApplyModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, model := New(), map[policy.ServerID]Endpoint{}
		version := uint64(0)
		for i := range rapid.IntRange(1, 50).Draw(t, "steps") {
			id := policy.ServerID(rapid.IntRange(1, 6).Draw(t, "id"))
			e := endpoint(id, int64(i+1), policy.Health(rapid.IntRange(0, 2).Draw(t, "health")))
			model[e.ID] = e
			version++
			if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				continue // this update is lost
			}
			if _, err := l.Apply(partialUpdate(version, e)); err != nil {
				if !errors.Is(err, ErrMissedUpdates) {
					t.Fatal(err)
				}
				var all []Endpoint
				for _, e := range model {
					all = append(all, e)
				}
				if _, err := l.Apply(fullUpdate(version, all...)); err != nil {
					t.Fatal(err)
				}
			}
			for id, want := range model {
				if got, ok := l.Find(id); !ok || got != want {
					t.Fatalf("endpoint %d is %+v, want %+v", id, got, want)
				}
			}
		}
	})
}
