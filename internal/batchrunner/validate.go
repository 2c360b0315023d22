package batchrunner

import (
	"bufio"
	"bytes"
	"errors"
	"hash/crc32"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"

	"docksail/internal/decide/batchscheduler"
	"docksail/internal/state/batchstore"
)

const (
	// maxValidationErrors limits the number of errors that are stored for an input file.
	maxValidationErrors = 50
	// linesPerWrite is the number of lines that are stored in one call.
	linesPerWrite = 2000
	// readBufferBytes is the size of the buffer for reading an input file.
	readBufferBytes = 64 << 10
)

// validate reads the input file of a batch and stores its lines. It returns the batch in StateInProgress, or in
// StateFailed if the file is rejected.
func (r *Runner) validate(b batchstore.Batch) (batchstore.Batch, error) {
	v := &validator{runner: r, batch: b, customIDs: map[uint64]bool{}}
	if err := v.readFile(); err != nil {
		v.addError(0, newValidationError("unreadable", "%v", err))
	}
	if v.accepted == 0 && len(v.errors) == 0 {
		v.addError(0, newValidationError("empty_file", "the file has no lines"))
	}
	state := batchscheduler.StateInProgress
	if len(v.errors) > 0 {
		state = batchscheduler.StateFailed
	}
	return r.store.TransitionBatch(b.ID, state, func(b *batchstore.Batch) {
		b.TotalLines, b.ValidationErrors = v.accepted, v.errors
		if state == batchscheduler.StateFailed {
			b.EndedUnix = time.Now().Unix()
		} else {
			b.InProgressUnix = time.Now().Unix()
			b.Class, b.Effect = v.model, r.config.Classes[v.model].Idempotency.String()
		}
	})
}

// validator validates the input file of one batch. It has only one line of the file in memory at a time.
type validator struct {
	runner    *Runner
	batch     batchstore.Batch
	customIDs map[uint64]bool // by 64-bit hash: collisions are too rare to matter
	model     string          // of the first line
	pending   []batchstore.Line
	accepted  int // number of valid lines, including the pending ones
	errors    []batchstore.ValidationError
}

// addError adds an error of a line, or of the whole file if the number is 0. It drops errors beyond
// maxValidationErrors.
func (v *validator) addError(lineNumber int, invalid *batchstore.ValidationError) {
	if len(v.errors) >= maxValidationErrors {
		return
	}
	invalid.LineNumber = lineNumber
	v.errors = append(v.errors, *invalid)
}

// readFile reads all lines and stores the valid ones. It stops at the first line beyond Config.MaxLines.
func (v *validator) readFile() error {
	file, err := v.runner.store.OpenInput(v.batch.InputFileID)
	if err != nil {
		return err
	}
	defer file.Close()
	config := &v.runner.config
	reader := &lineReader{in: bufio.NewReaderSize(file, readBufferBytes), maxBytes: config.MaxLineBytes}
	for number := 1; ; number++ {
		line, err := reader.next()
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		switch {
		case line.isTooLong:
			v.addError(number, newValidationError("line_too_long", "more than %d bytes", config.MaxLineBytes))
		case len(bytes.TrimSpace(line.text)) == 0:
		case v.accepted == config.MaxLines:
			v.addError(number, newValidationError("too_many_lines", "more than %d lines", config.MaxLines))
			return nil
		default:
			if err := v.addLine(number, line); err != nil {
				return err
			}
		}
		if err != nil {
			return v.storePending()
		}
	}
}

// addLine adds a line if it is valid and a validation error otherwise. It returns an error only if lines cannot be
// stored.
func (v *validator) addLine(number int, line inputLine) error {
	request, invalid := v.check(line.text)
	if invalid != nil {
		v.addError(number, invalid)
		return nil
	}
	v.pending = append(v.pending, batchstore.Line{
		Offset:      line.offset,
		Length:      int32(len(line.text)),
		Checksum:    crc32.ChecksumIEEE(line.text),
		Cost:        request.Body.cost(),
		PrefixGroup: request.Body.prefixGroup(),
		CustomID:    request.CustomID,
	})
	v.accepted++
	if len(v.pending) < linesPerWrite {
		return nil
	}
	return v.storePending()
}

// check parses a line. It returns a validation error if the line is invalid.
func (v *validator) check(text []byte) (*lineRequest, *batchstore.ValidationError) {
	request, err := parseLine(text)
	if err != nil {
		return nil, newValidationError("invalid_json_line", "%v", err)
	}
	if invalid := v.runner.checkRequest(request, v.batch.Endpoint); invalid != nil {
		return nil, invalid
	}
	hash := xxhash.Sum64String(request.CustomID)
	if v.customIDs[hash] {
		return nil, newValidationError("duplicate_custom_id", "custom_id %q stands twice", request.CustomID)
	}
	v.customIDs[hash] = true
	if v.model == "" {
		v.model = request.Body.Model
	}
	if v.model != request.Body.Model {
		return nil, newValidationError(
			"mismatched_model", "model %q, want %q as in the first line", request.Body.Model, v.model,
		)
	}
	return request, nil
}

// storePending stores the pending lines.
func (v *validator) storePending() error {
	first := batchscheduler.LineIndex(v.accepted - len(v.pending))
	err := v.runner.store.AddLines(v.batch.ID, first, v.pending)
	v.pending = v.pending[:0]
	return err
}

// inputLine is a line of the input file.
type inputLine struct {
	offset    int64  // of its text in the file
	text      []byte // without its line break; valid until the next line is read
	isTooLong bool   // longer than lineReader.maxBytes; text is incomplete
}

// lineReader reads an input file line by line.
type lineReader struct {
	in       *bufio.Reader
	maxBytes int   // of a line, without its newline
	offset   int64 // of the next line
	text     []byte
}

// next returns the next line. It returns io.EOF with the last line, which is empty if the file ends in a newline.
func (r *lineReader) next() (inputLine, error) {
	line := inputLine{offset: r.offset}
	r.text = r.text[:0]
	for {
		part, err := r.in.ReadSlice('\n')
		r.offset += int64(len(part))
		if line.isTooLong || len(r.text)+len(part) > r.maxBytes+1 {
			line.isTooLong = true
		} else {
			r.text = append(r.text, part...)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		line.text = bytes.TrimRight(r.text, "\r\n")
		return line, err
	}
}
