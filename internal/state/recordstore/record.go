package recordstore

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// A stored record is a version byte, a big-endian CRC-32C over set, key and value, and the value.
const (
	recordVersion = 1
	headerBytes   = 1 + 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptRecordError reports a record that is too short, has a wrong checksum or has an unknown format version. The
// batch API returns its text to clients.
type CorruptRecordError struct {
	Set     string
	Key     []byte
	Problem string
}

// Error implements error.
func (e *CorruptRecordError) Error() string {
	return fmt.Sprintf("record %q of set %s: %s", e.Key, e.Set, e.Problem)
}

// recordChecksum returns the checksum over the set, key and value of a record.
func recordChecksum(set string, key, value []byte) uint32 {
	separator := []byte{0}
	sum := crc32.Update(0, castagnoli, []byte(set))
	sum = crc32.Update(sum, castagnoli, separator)
	sum = crc32.Update(sum, castagnoli, key)
	sum = crc32.Update(sum, castagnoli, separator)
	return crc32.Update(sum, castagnoli, value)
}

// encodeRecord returns the stored form of a record.
func encodeRecord(set string, key, value []byte) []byte {
	record := make([]byte, headerBytes, headerBytes+len(value))
	record[0] = recordVersion
	binary.BigEndian.PutUint32(record[1:], recordChecksum(set, key, value))
	return append(record, value...)
}

// decodeRecord returns the value of a stored record. Its error is a *CorruptRecordError.
func decodeRecord(set string, key, record []byte) ([]byte, error) {
	var problem string
	switch {
	case len(record) < headerBytes:
		problem = "shorter than the record header"
	case record[0] != recordVersion:
		problem = fmt.Sprintf("format version is %d, must be %d", record[0], recordVersion)
	case binary.BigEndian.Uint32(record[1:]) != recordChecksum(set, key, record[headerBytes:]):
		problem = "checksum mismatch"
	default:
		return record[headerBytes:], nil
	}
	return nil, &CorruptRecordError{Set: set, Key: bytes.Clone(key), Problem: problem}
}
