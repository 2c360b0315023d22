package statusfile

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"docksail/internal/decide/admission"
	"docksail/internal/dispatch"
	"docksail/internal/grpcnode"
)

var writtenAt = time.Date(2024, 5, 6, 7, 8, 9, 0, time.UTC)

func exampleStatus() grpcnode.Status {
	ours := dispatch.TenantStatus{Name: "ours", Weight: 50, Waiting: 3, Running: 2, Counts: admission.TenantCounts{
		Arrived: 12, Admitted: 4, TotalWait: admission.Nanos(20 * time.Millisecond),
		MaxWait: admission.Nanos(12345678), AdmittedCost: 300,
		ReservationsGranted: 3, ReservationsRedeemed: 2, ReservationsAdmitted: 1,
	}}
	ours.Counts.Rejected[admission.PromptTooLong] = 1
	ours.Counts.Rejected[admission.TenantQueueFull] = 4
	other := dispatch.TenantStatus{Weight: 0.5, Counts: admission.TenantCounts{AdmittedCost: 100}}
	return grpcnode.Status{
		Status: dispatch.Status{
			InFlight: 7, ClientConns: 5, Waiting: 3, Flows: 2,
			Counts: dispatch.Counts{
				Served: 4, Rejected: 5, Failed: 6, ClientDisconnects: 7, Attempts: 8, TimedOut: 9, Broken: 10,
			},
		},
		Tenants: []dispatch.TenantStatus{ours, other},
	}
}

// wantTable is the printed exampleStatus without its first line, which shows the time.
const wantTable = `7 requests in flight, 3 waiting in 2 flows, 5 connections
  tenant  weight  waiting  running  arrived  admitted  share  mean wait  max wait  reserved  redeemed  honored
    ours      50        3        2       12         4  75.0%        5ms      12ms         3         2        1
   (all)     0.5        0        0        0         0  25.0%         0s        0s         0         0        0
rejected ours: 4, too many requests of the tenant waiting
rejected ours: 1, prompt longer than the tenant's may be
4 served, 5 rejected, 6 failed, 7 client disconnects; 8 attempts, 9 timed out, 10 broken
`

// TestPrint checks the printed table and that a file is marked as stale only above the age limit.
func TestPrint(t *testing.T) {
	for _, test := range []struct {
		name      string
		age       time.Duration
		firstLine string
	}{
		{"fresh", time.Second, "07:08:09"},
		{"at the limit", 5 * time.Second, "07:08:09"},
		{"stale", 65 * time.Second, "07:08:09  (1m5s old: the dispatcher may have ended)"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var output strings.Builder
			file := File{Format: Format, WrittenAt: writtenAt, Status: exampleStatus()}
			file.Print(&output, writtenAt.Add(test.age))
			if want := test.firstLine + "\n" + wantTable; output.String() != want {
				t.Errorf("printed\n%s\nwant\n%s", output.String(), want)
			}
		})
	}
}

// TestWriteAndRead checks that Read returns what Write has written, and that the keys of the file are unchanged.
func TestWriteAndRead(t *testing.T) {
	name := filepath.Join(t.TempDir(), "status")
	want := File{Format: Format, WrittenAt: writtenAt, Status: exampleStatus()}
	if err := Write(name, want.Status, writtenAt); err != nil {
		t.Fatal(err)
	}
	got, err := Read(name)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(*got, want) {
		t.Errorf("read %+v, want %+v", *got, want)
	}
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	const wantStart = `{"format":1,"at":"2024-05-06T07:08:09Z","View":{"InHand":7,`
	if !strings.HasPrefix(string(text), wantStart) {
		t.Errorf("the file is %s, want it to start with %s", text, wantStart)
	}
}

// TestReadErrors checks the errors for a missing file, invalid JSON and another format version.
func TestReadErrors(t *testing.T) {
	name := filepath.Join(t.TempDir(), "status")
	if _, err := Read(name); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing file: %v, want %v", err, os.ErrNotExist)
	}
	if err := os.WriteFile(name, []byte("{"), filePermissions); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(name); err == nil || !strings.HasPrefix(err.Error(), name) {
		t.Errorf("invalid JSON: %v, want an error that begins with the file's name", err)
	}
	if err := os.WriteFile(name, []byte(`{"format": 9}`), filePermissions); err != nil {
		t.Fatal(err)
	}
	_, err := Read(name)
	formatErr, ok := errors.AsType[*FormatError](err)
	if !ok || formatErr.Format != 9 || err.Error() != name+": file format version is 9, must be 1" {
		t.Errorf("another format version: %v", err)
	}
}
