package platform

import (
	"errors"
	"fmt"
	"strconv"
)

const (
	requestIDDigits  = 16
	maxSecondsBytes  = 24
	nanosPerSecond   = 1e9
	longestFieldName = 32 // of those in requestFieldsByName and hopByHopFields, and some more
)

// lowerCase returns an ASCII name in lower case; nil if it is longer than any known name.
func lowerCase(name []byte) []byte {
	var buf [longestFieldName]byte
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

// isRequestID reports whether value is the id of a request: hexadecimal digits of either case.
func isRequestID(value []byte) bool {
	for _, c := range value {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return len(value) == requestIDDigits
}

// parseSeconds parses a duration above 0 in seconds, digits with at most one point, and returns nanoseconds: a day at
// most.
func parseSeconds(value []byte) (int64, error) {
	x, err := strconv.ParseFloat(string(value), 64)
	if !isDecimal(value) || err != nil || len(value) > maxSecondsBytes || x <= 0 {
		return 0, errors.New("want seconds above 0")
	}
	return max(int64(min(x*nanosPerSecond, nanosPerDay)), 1), nil
}

// isDecimal reports whether value is made of digits and at most one point.
func isDecimal(value []byte) bool {
	points, digits := 0, 0
	for _, c := range value {
		switch {
		case c == '.':
			points++
		case '0' <= c && c <= '9':
			digits++
		default:
			return false
		}
	}
	return points <= 1 && digits > 0
}

// parseNumber parses a decimal number from 0 to limit.
func parseNumber(value []byte, limit int64) (int64, error) {
	n, err := strconv.ParseUint(string(value), 10, 63)
	if err != nil || int64(n) > limit {
		return 0, fmt.Errorf("want a number from 0 to %d", limit)
	}
	return int64(n), nil
}
