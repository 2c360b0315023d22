package h2

import (
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/grpc/codes"
)

const (
	grpcContentType      = "application/grpc"
	grpcProtoContentType = "application/grpc+proto"

	// messagePrefixBytes is the size of the prefix of each message: the compressed flag and the length.
	messagePrefixBytes = 5
)

// messagePrefix returns the prefix of an uncompressed message.
func messagePrefix(length int) [messagePrefixBytes]byte {
	return [...]byte{0, byte(length >> 24), byte(length >> 16), byte(length >> 8), byte(length)}
}

// messageLength returns the message length that a prefix states.
func messageLength(prefix []byte) uint32 {
	return uint32(prefix[1])<<24 | uint32(prefix[2])<<16 | uint32(prefix[3])<<8 | uint32(prefix[4])
}

// statusFromTrailer returns the code and message of the status in a response's trailers.
func statusFromTrailer(trailer *Header) (codes.Code, string) {
	n, err := strconv.ParseUint(trailer.Get("grpc-status"), 10, 31)
	if err != nil || n > uint64(codes.Unauthenticated) {
		return codes.Unknown, "no grpc-status in the trailers"
	}
	return codes.Code(n), percentDecode(trailer.Get("grpc-message"))
}

// isInformational reports whether an HTTP status is 1xx, so that a final response follows.
func isInformational(status string) bool { return len(status) == 3 && status[0] == '1' }

// codeFromHTTPStatus returns the code to which gRPC maps the HTTP status of a response without a gRPC status.
func codeFromHTTPStatus(status string) codes.Code {
	switch status {
	case "400":
		return codes.Internal
	case "401":
		return codes.Unauthenticated
	case "403":
		return codes.PermissionDenied
	case "404":
		return codes.Unimplemented
	case "429", "502", "503", "504":
		return codes.Unavailable
	}
	return codes.Unknown
}

// timeoutUnits are the units of grpc-timeout in ascending order.
var timeoutUnits = [...]struct {
	suffix byte
	nanos  int64
}{{'n', 1}, {'u', 1e3}, {'m', 1e6}, {'S', 1e9}, {'M', 60e9}, {'H', 3600e9}}

const (
	maxTimeoutValue = 99999999 // largest value of a grpc-timeout in any unit: eight digits
	maxTimeoutNanos = 1 << 62  // longer timeouts are parsed as this one
)

// FormatTimeout formats a timeout in nanoseconds as a grpc-timeout: at most eight digits and a unit, rounded up.
func FormatTimeout(nanos int64) string {
	for _, unit := range timeoutUnits {
		if value := (nanos + unit.nanos - 1) / unit.nanos; value <= maxTimeoutValue {
			return strconv.FormatInt(value, 10) + string(unit.suffix)
		}
	}
	return strconv.Itoa(maxTimeoutValue) + "H"
}

// ParseTimeout parses a grpc-timeout. It returns nanoseconds, at most 1<<62.
func ParseTimeout(timeout string) (int64, error) {
	if len(timeout) < 2 || len(timeout) > 9 {
		return 0, fmt.Errorf("grpc-timeout %q: want one to eight digits and a unit", timeout)
	}
	digits, suffix := timeout[:len(timeout)-1], timeout[len(timeout)-1]
	value, err := strconv.ParseUint(digits, 10, 63)
	if err == nil {
		for _, unit := range timeoutUnits {
			if unit.suffix != suffix {
				continue
			}
			if int64(value) > maxTimeoutNanos/unit.nanos {
				return maxTimeoutNanos, nil
			}
			return int64(value) * unit.nanos, nil
		}
	}
	return 0, fmt.Errorf("grpc-timeout %q: want one to eight digits and a unit of H, M, S, m, u, n", timeout)
}

// percentEncode encodes a message for grpc-message: bytes other than printable ASCII, and '%', become %XX.
func percentEncode(message string) string {
	var b strings.Builder
	for i := range len(message) {
		if c := message[i]; c < ' ' || c > '~' || c == '%' {
			fmt.Fprintf(&b, "%%%02X", c)
		} else {
			b.WriteByte(c)
		}
	}
	return b.String()
}

// percentDecode decodes a grpc-message. A '%' that does not begin a valid %XX is kept.
func percentDecode(encoded string) string {
	if !strings.Contains(encoded, "%") {
		return encoded
	}
	var b strings.Builder
	for i := 0; i < len(encoded); i++ {
		if encoded[i] == '%' && i+2 < len(encoded) {
			if v, err := strconv.ParseUint(encoded[i+1:i+3], 16, 8); err == nil {
				b.WriteByte(byte(v))
				i += 2
				continue
			}
		}
		b.WriteByte(encoded[i])
	}
	return b.String()
}
