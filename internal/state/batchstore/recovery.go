package batchstore

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"

	"docksail/internal/decide/batchscheduler"
	"docksail/internal/state/recordstore"
)

// recoverContents counts the quota that tenants use and removes what an interrupted upload left behind: temporary
// files, and contents without a record.
func (s *Store) recoverContents() error {
	known, err := s.countUsedBytes()
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
		if !known[content.Name()] {
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

// countUsedBytes counts the quota that tenants use and returns the IDs of all files that have a record. A corrupt
// record counts too, because a person may still want the content.
func (s *Store) countUsedBytes() (known map[string]bool, err error) {
	known = map[string]bool{}
	err = s.records.View(func(tx *recordstore.Tx) error {
		return tx.ForEach(filesSet, nil, func(key, encoded []byte, corrupt error) error {
			known[string(key)] = true
			var file File
			if corrupt == nil && json.Unmarshal(encoded, &file) == nil {
				s.usedBytes[file.Tenant] += file.SizeBytes
			}
			return nil
		})
	})
	return known, err
}

// Verify reads every record, and the text of every line of an unfinished batch. It returns how many records there are
// and, sorted, descriptions of the records and texts that are not what was written.
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
