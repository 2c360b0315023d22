package batchstore

import (
	"encoding/binary"
	"errors"
	"time"

	"docksail/internal/bootclock"
	"docksail/internal/decide/batchscheduler"
	"docksail/internal/state/recordstore"
)

// Attempts describes the attempts of a line that may have run, including one in flight.
type Attempts struct {
	Count      uint8
	FirstStart bootclock.Instant // start of the first; unknown if its record is corrupt or was not written
}

// attemptsHeaderBytes is the size of an encoded Attempts without its boot ID: count and time since the boot.
const attemptsHeaderBytes = 1 + 8

// attemptsSet returns the name of the set that holds the attempts of a batch's lines.
func attemptsSet(batchID string) string { return "attempts/" + batchID }

func (a *Attempts) encode() []byte {
	b := make([]byte, 0, attemptsHeaderBytes+len(a.FirstStart.BootID))
	b = append(b, a.Count)
	b = binary.BigEndian.AppendUint64(b, uint64(a.FirstStart.SinceBoot))
	return append(b, a.FirstStart.BootID...)
}

// putAttempts stores a line's attempts; if there are none, it removes their record.
func putAttempts(tx *recordstore.Tx, batchID string, index batchscheduler.LineIndex, attempts Attempts) error {
	if attempts.Count == 0 {
		return tx.Delete(attemptsSet(batchID), lineKey(index))
	}
	return tx.Put(attemptsSet(batchID), lineKey(index), attempts.encode())
}

// getAttempts returns a line's attempts. A corrupt record counts as one attempt whose start is unknown.
func getAttempts(tx *recordstore.Tx, batchID string, index batchscheduler.LineIndex) Attempts {
	encoded, err := tx.Get(attemptsSet(batchID), lineKey(index))
	if errors.Is(err, recordstore.ErrNotFound) {
		return Attempts{}
	}
	if err != nil || len(encoded) < attemptsHeaderBytes {
		return Attempts{Count: 1}
	}
	return Attempts{
		Count: encoded[0],
		FirstStart: bootclock.Instant{
			BootID:    string(encoded[attemptsHeaderBytes:]),
			SinceBoot: time.Duration(binary.BigEndian.Uint64(encoded[1:])),
		},
	}
}
