package batchstore

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"docksail/internal/decide/batchscheduler"
	"docksail/internal/state/recordstore"
)

// ResultKind says how a line ended. Its value is the first byte of a stored result.
type ResultKind byte

const (
	// ResultFailed is the kind of a line that ended without an answer; its text goes into the error file.
	ResultFailed ResultKind = 0
	// ResultCompleted is the kind of a line that was answered; its text goes into the output file.
	ResultCompleted ResultKind = 1
)

// String returns the name of the kind.
func (k ResultKind) String() string {
	if k == ResultCompleted {
		return "completed"
	}
	return "failed"
}

// corruptResult is the format string of an error file line for a result whose record is corrupt.
const corruptResult = `{"id":null,"custom_id":null,"response":null,"error":{"code":"rotten","message":%q}}`

// resultsSet returns the name of the set that holds a batch's results.
func resultsSet(batchID string) string { return "results/" + batchID }

// RecordResult stores the result of a line with its text for the output or error file, and updates the counts of the
// batch. Only the first result of a line is stored; later ones are ignored. The error wraps ErrInvalidState if the
// batch is in a terminal state.
func (s *Store) RecordResult(batchID string, index batchscheduler.LineIndex, kind ResultKind, text []byte) error {
	return s.records.UpdateBatched(func(tx *recordstore.Tx) error {
		return recordResult(tx, batchID, index, kind, func(Line) []byte { return text })
	})
}

// FailLines stores lines as failed, with the text that failureText returns for each. It skips lines that have a result.
func (s *Store) FailLines(
	batchID string, indexes []batchscheduler.LineIndex,
	failureText func(index batchscheduler.LineIndex, line Line) []byte,
) error {
	for len(indexes) > 0 {
		chunk := indexes[:min(len(indexes), maxLinesPerUpdate)]
		err := s.records.Update(func(tx *recordstore.Tx) error {
			for _, index := range chunk {
				text := func(line Line) []byte { return failureText(index, line) }
				if err := recordResult(tx, batchID, index, ResultFailed, text); err != nil {
					return err
				}
			}
			return nil
		})
		if err != nil {
			return err
		}
		indexes = indexes[len(chunk):]
	}
	return nil
}

// recordResult stores a line's result, its state and the counts of its batch. It keeps an existing result.
func recordResult(
	tx *recordstore.Tx, batchID string, index batchscheduler.LineIndex, kind ResultKind, text func(line Line) []byte,
) error {
	if _, err := tx.Get(resultsSet(batchID), lineKey(index)); !errors.Is(err, recordstore.ErrNotFound) {
		return err
	}
	var b Batch
	if err := getJSON(tx, batchesSet, batchID, &b); err != nil {
		return err
	}
	if b.State.IsTerminal() {
		return fmt.Errorf("%s is %v: %w", batchID, b.State, ErrInvalidState)
	}
	state := batchscheduler.LineFailed
	if kind == ResultCompleted {
		state = batchscheduler.LineCompleted
		b.CompletedLines++
	} else {
		b.FailedLines++
	}
	line, err := getLine(tx, batchID, index)
	if err == nil { // a missing or corrupt line record does not prevent the result
		line.State = state
		if err := putLine(tx, batchID, index, line); err != nil {
			return err
		}
	}
	record := append([]byte{byte(kind)}, text(line)...)
	if err := tx.Put(resultsSet(batchID), lineKey(index), record); err != nil {
		return err
	}
	return putJSON(tx, batchesSet, batchID, b)
}

// FinalizeBatch writes the error file and the output file of a batch in StateFinalizing and moves it to its FinalState.
// It may be called again after an error or an interruption at any point.
func (s *Store) FinalizeBatch(now time.Time, b Batch) (Batch, error) {
	var errorFile, outputFile File
	errorFile, err := s.writeResultFile(now, b, ResultFailed)
	if err == nil {
		outputFile, err = s.writeResultFile(now, b, ResultCompleted)
	}
	if err == nil {
		err = s.atFailpoint(afterFilesWritten)
	}
	if err == nil {
		b, err = s.recordFinalized(now, b.ID, errorFile, outputFile)
	}
	if err != nil {
		s.discardUnrecorded(errorFile, outputFile)
		return b, err
	}
	return b, s.removeDeletedInput(b.InputFileID)
}

// recordFinalized stores the records of a batch's result files, of which each may be empty, and moves the batch to its
// FinalState.
func (s *Store) recordFinalized(now time.Time, batchID string, errorFile, outputFile File) (b Batch, err error) {
	err = s.records.Update(func(tx *recordstore.Tx) error {
		if err := s.atFailpoint(beforeBatchRecord); err != nil {
			return err
		}
		if err := getJSON(tx, batchesSet, batchID, &b); err != nil {
			return err
		}
		if err := batchscheduler.CheckTransition(b.State, b.FinalState); err != nil {
			return fmt.Errorf("%w: %w", ErrInvalidState, err)
		}
		for _, file := range []File{errorFile, outputFile} {
			if file.ID == "" {
				continue
			}
			if err := putJSON(tx, filesSet, file.ID, file); err != nil {
				return err
			}
		}
		b.State, b.EndedUnix = b.FinalState, now.Unix()
		b.ErrorFileID, b.OutputFileID = errorFile.ID, outputFile.ID
		if err := dropLines(tx, b.ID); err != nil {
			return err
		}
		return putJSON(tx, batchesSet, b.ID, b)
	})
	return b, err
}

// writeResultFile writes the texts of a batch's results of a kind as the content of a file. The file's ID is derived
// from the batch's, so that a repeated call overwrites the content; it is empty if there is no such result.
func (s *Store) writeResultFile(now time.Time, b Batch, kind ResultKind) (File, error) {
	w, err := s.newContentWriter(b.Tenant, 0)
	if err != nil {
		return File{}, err
	}
	isEmpty := true
	err = s.records.View(func(tx *recordstore.Tx) error {
		return tx.ForEach(resultsSet(b.ID), nil, func(_, record []byte, corrupt error) error {
			if corrupt != nil {
				record = append([]byte{byte(ResultFailed)}, fmt.Appendf(nil, corruptResult, corrupt.Error())...)
			}
			if len(record) < 1 || ResultKind(record[0]) != kind {
				return nil
			}
			isEmpty = false
			_, err := w.Write(append(bytes.Clone(record[1:]), '\n'))
			return err
		})
	})
	if err != nil || isEmpty {
		w.discard()
		return File{}, err
	}
	name := "errors"
	if kind == ResultCompleted {
		name = "output"
	}
	file := File{
		ID:          fileIDPrefix + strings.TrimPrefix(b.ID, batchIDPrefix) + name[:1],
		Tenant:      b.Tenant,
		Name:        b.ID + "_" + name + ".jsonl",
		Purpose:     PurposeOutput,
		SizeBytes:   w.written,
		CreatedUnix: now.Unix(),
	}
	if err := w.commit(file.ID); err != nil {
		return File{}, err
	}
	return file, nil
}
