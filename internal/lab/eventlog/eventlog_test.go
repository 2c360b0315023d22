package eventlog

import (
	"bytes"
	"slices"
	"testing"
)

// TestReadWrite checks that Read returns the entries written by Write, and the complete entries of a truncated file.
func TestReadWrite(t *testing.T) {
	entries := []Entry{
		{At: 1, Kind: RequestSent, RequestLabel: "a", Class: "question", Deadline: 9},
		{At: 2, Kind: AttemptSent, Request: "1.1", Attempt: 1, Server: 3, Note: NotePrefill, Dispatcher: 2},
		{At: 3, Kind: RequestAnswered, RequestLabel: "a", Code: "OK", Value: 4, ClientAttempt: 1, Tenant: "t"},
	}
	var file bytes.Buffer
	if err := Write(&file, entries); err != nil {
		t.Fatal(err)
	}
	got, err := Read(bytes.NewReader(file.Bytes()))
	if err != nil || !slices.Equal(got, entries) {
		t.Errorf("read %v, %v, want %v", got, err, entries)
	}
	got, err = Read(bytes.NewReader(file.Bytes()[:file.Len()-5]))
	if err == nil || !slices.Equal(got, entries[:2]) {
		t.Errorf("read %v, %v from a truncated file, want the first two entries and an error", got, err)
	}
}

// TestEntries checks that entries are sorted by time, then by the order of their addition, and that entries without a
// time get that of the log's clock.
func TestEntries(t *testing.T) {
	log := Log{Clock: func() int64 { return 5 }}
	log.Add(Entry{Kind: RequestSent})
	log.Add(Entry{At: 7, Kind: RequestAnswered})
	log.Add(Entry{At: 5, Kind: AttemptSent})
	log.Add(Entry{At: 1, Kind: ServerStarted})
	var kinds []Kind
	for _, e := range log.Entries() {
		kinds = append(kinds, e.Kind)
	}
	if want := []Kind{ServerStarted, RequestSent, AttemptSent, RequestAnswered}; !slices.Equal(kinds, want) {
		t.Errorf("kinds %v, want %v", kinds, want)
	}
}
