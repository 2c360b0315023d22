package batchstore

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"

	"docksail/internal/decide/batchscheduler"
	"docksail/internal/state/recordstore"
)

// recoverContents computes the quota that tenants use and removes the remains of interrupted uploads: temporary files
// and contents without a record.
func (s *Store) recoverContents() error {
	recorded, err := s.countUsedBytes()
	if err != nil {
		return err
	}
	orphans, err := filepath.Glob(filepath.Join(s.dir, uploadsDirName, "*"))
	if err != nil {
		return err
	}
	contents, err := os.ReadDir(filepath.Join(s.dir, contentsDirName))
	if err != nil {
		return err
	}
	for _, content := range contents {
		if !recorded[content.Name()] {
			orphans = append(orphans, s.contentPath(content.Name()))
		}
	}
	for _, path := range orphans {
		if err := os.Remove(path); err != nil {
			return err
		}
	}
	return nil
}

// countUsedBytes computes the quota that tenants use and returns the IDs of all files that have a record. These include
// corrupt records, so that their contents are kept for manual recovery.
func (s *Store) countUsedBytes() (recorded map[string]bool, err error) {
	recorded = map[string]bool{}
	err = s.records.View(func(tx *recordstore.Tx) error {
		return tx.ForEach(filesSet, nil, func(key, encoded []byte, corrupt error) error {
			recorded[string(key)] = true
			var file File
			if corrupt == nil && json.Unmarshal(encoded, &file) == nil {
				s.usedBytes[file.Tenant] += file.SizeBytes
			}
			return nil
		})
	})
	return recorded, err
}

// Verify reads every record, and the text of every line of an unfinished batch. It returns the number of records and
// the sorted descriptions of corrupt records and texts.
func (s *Store) Verify() (records int, corrupt []string, err error) {
	records, corruptRecords, err := s.records.Verify()
	for _, e := range corruptRecords {
		corrupt = append(corrupt, e.Error())
	}
	if err != nil {
		return records, corrupt, err
	}
	batches, err := s.UnfinishedBatches()
	for _, b := range batches {
		if err != nil {
			break
		}
		err = s.ForEachLine(b.ID, func(index batchscheduler.LineIndex, line Line, corruptLine error) error {
			if corruptLine != nil { // the record store has reported it
				return nil
			}
			if _, err := s.LineText(b.InputFileID, index, line); err != nil {
				corrupt = append(corrupt, err.Error())
			}
			return nil
		})
	}
	slices.Sort(corrupt)
	return records, corrupt, err
}
