package batchstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"docksail/internal/decide/batchscheduler"
	"docksail/internal/state/recordstore"
)

// Batch is the record of a tenant's batch. Times are Unix seconds; 0 means not reached yet.
type Batch struct {
	ID               string                    `json:"id"`
	Tenant           string                    `json:"tenant"`
	InputFileID      string                    `json:"input"`
	Endpoint         string                    `json:"endpoint"`
	CompletionWindow string                    `json:"window"` // as the tenant wrote it
	Metadata         map[string]string         `json:"metadata,omitempty"`
	State            batchscheduler.BatchState `json:"state"`
	TotalLines       int                       `json:"total"`
	CompletedLines   int                       `json:"done"`
	FailedLines      int                       `json:"lost"`
	OutputFileID     string                    `json:"output,omitempty"` // empty if no line was completed
	ErrorFileID      string                    `json:"errors,omitempty"` // empty if no line failed
	CreatedUnix      int64                     `json:"created"`
	ExpiresUnix      int64                     `json:"expires"`
	InProgressUnix   int64                     `json:"in_progress,omitempty"`
	FinalizingUnix   int64                     `json:"finalizing,omitempty"`
	EndedUnix        int64                     `json:"ended,omitempty"`
	CancellingUnix   int64                     `json:"cancelling,omitempty"`
	FinalState       batchscheduler.BatchState `json:"final,omitempty"` // terminal state that FinalizeBatch sets
	ValidationErrors []ValidationError         `json:"faults,omitempty"`
	Class            string                    `json:"class,omitempty"`  // of all lines; empty in an older program's batch
	Effect           string                    `json:"effect,omitempty"` // of the lines, as they are sent
}

// ValidationError is a reason why a batch's input file was rejected.
type ValidationError struct {
	LineNumber int    `json:"line"` // from 1; 0 = the whole file
	Code       string `json:"code"`
	Message    string `json:"message"`
}

// CreateBatch creates a batch in StateValidating for the input file b.InputFileID and returns it with its ID, state and
// times.
func (s *Store) CreateBatch(now time.Time, b Batch, window time.Duration) (Batch, error) {
	if _, err := s.File(b.Tenant, b.InputFileID); err != nil {
		return Batch{}, err
	}
	var err error
	if b.ID, err = s.newID(batchIDPrefix); err != nil {
		return Batch{}, err
	}
	b.State, b.CreatedUnix, b.ExpiresUnix = batchscheduler.StateValidating, now.Unix(), now.Add(window).Unix()
	return b, s.records.Update(func(tx *recordstore.Tx) error { return putJSON(tx, batchesSet, b.ID, b) })
}

// Batch returns a tenant's batch. Its error wraps ErrNotFound if the tenant has none with that ID.
func (s *Store) Batch(tenant, id string) (b Batch, err error) {
	err = s.records.View(func(tx *recordstore.Tx) error { return getJSON(tx, batchesSet, id, &b) })
	if err == nil && b.Tenant != tenant {
		err = fmt.Errorf("%s: %w", id, ErrNotFound)
	}
	return b, err
}

// Batches returns at most limit batches of a tenant whose IDs are greater than after, sorted by ID.
func (s *Store) Batches(tenant, after string, limit int) (Page[Batch], error) {
	return list(s, batchesSet, after, limit, func(b *Batch) bool { return b.Tenant == tenant })
}

// UnfinishedBatches returns the batches of all tenants that are not in a terminal state.
func (s *Store) UnfinishedBatches() ([]Batch, error) {
	page, err := list(s, batchesSet, "", unlimited, func(b *Batch) bool { return !b.State.IsTerminal() })
	return page.Items, err
}

// TransitionBatch moves a batch to a state and applies update to it in the same transaction; update gets the batch in
// the new state. The error wraps ErrInvalidState if the transition is not allowed; a transition to the current state is
// always allowed. A terminal state also removes the batch's lines and results, and a deleted input file that no
// other unfinished batch reads.
func (s *Store) TransitionBatch(id string, to batchscheduler.BatchState, update func(b *Batch)) (b Batch, err error) {
	err = s.records.Update(func(tx *recordstore.Tx) error {
		if err := getJSON(tx, batchesSet, id, &b); err != nil {
			return err
		}
		if b.State != to {
			if err := batchscheduler.CheckTransition(b.State, to); err != nil {
				return fmt.Errorf("%w: %w", ErrInvalidState, err)
			}
		}
		b.State = to
		update(&b)
		if b.State.IsTerminal() {
			if err := dropLines(tx, id); err != nil {
				return err
			}
		}
		return putJSON(tx, batchesSet, id, b)
	})
	if err == nil && b.State.IsTerminal() {
		err = s.removeDeletedInput(b.InputFileID)
	}
	return b, err
}

// SetEffect stores the effect under which the lines of a batch are sent.
func (s *Store) SetEffect(id, effect string) error {
	return s.records.Update(func(tx *recordstore.Tx) error {
		var b Batch
		if err := getJSON(tx, batchesSet, id, &b); err != nil {
			return err
		}
		b.Effect = effect
		return putJSON(tx, batchesSet, id, b)
	})
}

// dropLines removes the records of a batch's lines, of their attempts and of their results.
func dropLines(tx *recordstore.Tx, batchID string) error {
	return errors.Join(
		tx.DropSet(linesSet(batchID)), tx.DropSet(attemptsSet(batchID)), tx.DropSet(resultsSet(batchID)),
	)
}

// isInUse reports whether a file is the input of a batch that is not in a terminal state.
func isInUse(tx *recordstore.Tx, fileID string) (inUse bool, err error) {
	err = tx.ForEach(batchesSet, nil, func(_, encoded []byte, corrupt error) error {
		var b Batch
		if corrupt != nil || json.Unmarshal(encoded, &b) != nil {
			return nil
		}
		if b.InputFileID == fileID && !b.State.IsTerminal() {
			inUse = true
			return recordstore.ErrStopIteration
		}
		return nil
	})
	return inUse, err
}
