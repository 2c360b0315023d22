package platform

import (
	"errors"
	"fmt"
	"strconv"
)

const (
	requestIDDigits        = 16
	maxSecondsLength       = 24
	nanosPerSecond         = 1e9
	maxKnownFieldNameBytes = 32 // no name in requestFieldsByName or hopByHopFields is longer
)

// lowerCase returns an ASCII name in lower case, or nil if it is longer than maxKnownFieldNameBytes.
func lowerCase(name []byte) []byte {
	var buf [maxKnownFieldNameBytes]byte
	if len(name) > len(buf) {
		return nil
	}
	for i, c := range name {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		buf[i] = c
	}
	return buf[:len(name)]
}

// isRequestID reports whether value is a valid request ID: 16 hexadecimal digits in upper or lower case.
func isRequestID(value []byte) bool {
	for _, c := range value {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return len(value) == requestIDDigits
}

// parseSeconds parses a duration above 0 in seconds, written as digits with at most one decimal point, and returns it
// in nanoseconds. It reduces durations of more than a day to a day.
func parseSeconds(value []byte) (int64, error) {
	seconds, err := strconv.ParseFloat(string(value), 64)
	if !isDecimal(value) || err != nil || len(value) > maxSecondsLength || seconds <= 0 {
		return 0, errors.New("want seconds above 0")
	}
	return max(int64(min(seconds*nanosPerSecond, nanosPerDay)), 1), nil
}

// isDecimal reports whether value consists of digits and at most one decimal point.
func isDecimal(value []byte) bool {
	decimalPoints, digits := 0, 0
	for _, c := range value {
		switch {
		case c == '.':
			decimalPoints++
		case '0' <= c && c <= '9':
			digits++
		default:
			return false
		}
	}
	return decimalPoints <= 1 && digits > 0
}

// parseNumber parses a decimal number from 0 to limit.
func parseNumber(value []byte, limit int64) (int64, error) {
	n, err := strconv.ParseUint(string(value), 10, 63)
	if err != nil || int64(n) > limit {
		return 0, fmt.Errorf("want a number from 0 to %d", limit)
	}
	return int64(n), nil
}
