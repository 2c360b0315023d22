package batchstore

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"

	"docksail/internal/decide/batchscheduler"
	"docksail/internal/state/recordstore"
)

// Line is the record of a batch's line: the position of its text in the input file, and its state.
type Line struct {
	State       batchscheduler.LineState
	Offset      int64   // of its text, in bytes
	Length      int32   // of its text, in bytes
	Checksum    uint32  // CRC-32 of its text
	Cost        float32 // stored as a whole number
	PrefixGroup uint64  // see batchscheduler.LineSpec
	CustomID    string  // chosen by the tenant
	Attempts    Attempts
}

// lineHeaderBytes is the size of an encoded line without its custom ID: state, offset, length, checksum, cost, group.
const lineHeaderBytes = 1 + 8 + 4 + 4 + 4 + 8

// linesSet returns the name of the set that holds a batch's lines.
func linesSet(batchID string) string { return "lines/" + batchID }

// lineKey returns the key of a line's record and result.
func lineKey(index batchscheduler.LineIndex) []byte {
	return binary.BigEndian.AppendUint32(nil, uint32(index))
}

func (l *Line) encode() []byte {
	b := make([]byte, 0, lineHeaderBytes+len(l.CustomID))
	b = append(b, byte(l.State))
	b = binary.BigEndian.AppendUint64(b, uint64(l.Offset))
	b = binary.BigEndian.AppendUint32(b, uint32(l.Length))
	b = binary.BigEndian.AppendUint32(b, l.Checksum)
	b = binary.BigEndian.AppendUint32(b, uint32(l.Cost))
	b = binary.BigEndian.AppendUint64(b, l.PrefixGroup)
	return append(b, l.CustomID...)
}

func decodeLine(b []byte) (Line, error) {
	if len(b) < lineHeaderBytes {
		return Line{}, fmt.Errorf("line of %d bytes: %w", len(b), ErrCorrupt)
	}
	return Line{
		State:       batchscheduler.LineState(b[0]),
		Offset:      int64(binary.BigEndian.Uint64(b[1:])),
		Length:      int32(binary.BigEndian.Uint32(b[9:])),
		Checksum:    binary.BigEndian.Uint32(b[13:]),
		Cost:        float32(binary.BigEndian.Uint32(b[17:])),
		PrefixGroup: binary.BigEndian.Uint64(b[21:]),
		CustomID:    string(b[lineHeaderBytes:]),
	}, nil
}

// getLine returns a line's record.
func getLine(tx *recordstore.Tx, batchID string, index batchscheduler.LineIndex) (Line, error) {
	encoded, err := tx.Get(linesSet(batchID), lineKey(index))
	if err != nil {
		return Line{}, err
	}
	line, err := decodeLine(encoded)
	line.Attempts = getAttempts(tx, batchID, index)
	return line, err
}

// putLine stores a line's record, without its attempts.
func putLine(tx *recordstore.Tx, batchID string, index batchscheduler.LineIndex, line Line) error {
	return tx.Put(linesSet(batchID), lineKey(index), line.encode())
}

// AddLines stores lines of a batch in StateValidating, starting at index first. It overwrites lines that an interrupted
// validation stored earlier.
func (s *Store) AddLines(batchID string, first batchscheduler.LineIndex, lines []Line) error {
	for len(lines) > 0 {
		chunk := lines[:min(len(lines), maxLinesPerUpdate)]
		err := s.records.Update(func(tx *recordstore.Tx) error {
			for i, line := range chunk {
				if err := putLine(tx, batchID, first+batchscheduler.LineIndex(i), line); err != nil {
					return err
				}
			}
			return nil
		})
		if err != nil {
			return err
		}
		first, lines = first+batchscheduler.LineIndex(len(chunk)), lines[len(chunk):]
	}
	return nil
}

// ForEachLine calls visit for the lines of a batch in their order and returns visit's first error. For a line whose
// record is corrupt, corrupt is the error and line has only its attempts.
func (s *Store) ForEachLine(
	batchID string, visit func(index batchscheduler.LineIndex, line Line, corrupt error) error,
) error {
	return s.records.View(func(tx *recordstore.Tx) error {
		return tx.ForEach(linesSet(batchID), nil, func(key, encoded []byte, corrupt error) error {
			var line Line
			if corrupt == nil {
				line, corrupt = decodeLine(encoded)
			}
			index := batchscheduler.LineIndex(binary.BigEndian.Uint32(key))
			line.Attempts = getAttempts(tx, batchID, index)
			return visit(index, line, corrupt)
		})
	})
}

// Line returns one line of a batch.
func (s *Store) Line(batchID string, index batchscheduler.LineIndex) (line Line, err error) {
	err = s.records.View(func(tx *recordstore.Tx) error {
		line, err = getLine(tx, batchID, index)
		return err
	})
	return line, err
}

// LineText returns the text of a line from its input file. Its error wraps ErrCorrupt if the text does not match
// the line's checksum.
func (s *Store) LineText(inputFileID string, index batchscheduler.LineIndex, line Line) ([]byte, error) {
	f, err := os.Open(s.contentPath(inputFileID))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text := make([]byte, line.Length)
	if _, err := f.ReadAt(text, line.Offset); err != nil {
		return nil, fmt.Errorf("%s, line %d: %w", inputFileID, index+1, err)
	}
	if crc32.ChecksumIEEE(text) != line.Checksum {
		return nil, fmt.Errorf("%s, line %d, at byte %d: %w", inputFileID, index+1, line.Offset, ErrCorrupt)
	}
	return text, nil
}

// SetLineState stores the state of a line and its attempts that may have run: in flight before its request is sent,
// waiting after an attempt that did not end it.
func (s *Store) SetLineState(
	batchID string, index batchscheduler.LineIndex, state batchscheduler.LineState, attempts Attempts,
) error {
	return s.records.UpdateBatched(func(tx *recordstore.Tx) error {
		line, err := getLine(tx, batchID, index)
		if err != nil {
			return err
		}
		line.State = state
		if err := putAttempts(tx, batchID, index, attempts); err != nil {
			return err
		}
		return putLine(tx, batchID, index, line)
	})
}
