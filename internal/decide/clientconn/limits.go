package clientconn

import "math/bits"

const (
	// MaxHeadFields is the most fields in the head of a request.
	MaxHeadFields = 128
	// MaxConnectionOptions is the most options in the Connection fields of a request, which are compared with its fields.
	MaxConnectionOptions = 16
	// MaxPipelinedBytes is the most input behind the request in flight that is kept. Requests beyond it are refused.
	MaxPipelinedBytes = 64 << 10
	// MaxRequestsPerTurn is the most requests of one connection that are decoded in one iteration of the event loop.
	MaxRequestsPerTurn = 16

	// processDescriptorFraction is the fraction of the descriptors that is reserved for the process itself, in addition
	// to baseProcessDescriptors: for the log, the endpoint list and descriptors that are being handed over.
	processDescriptorFraction = 1.0 / 32
	baseProcessDescriptors    = 24
	// serverConnFraction is the fraction of all descriptors for connections to servers. Client connections get the
	// rest, which is more: a request has one outstanding attempt at most, and not every client sends a request.
	serverConnFraction = 1.0 / 3
)

// DescriptorShares returns how many descriptors client connections and connections to servers may use, of the given
// number for the process.
func DescriptorShares(descriptors int) (clients, servers int) {
	forProcess := baseProcessDescriptors + int(processDescriptorFraction*float64(descriptors))
	servers = max(int(serverConnFraction*float64(descriptors)), 1)
	return max(descriptors-forProcess-servers, 1), servers
}

const (
	// knownBodyFraction is the fraction of a body of known length from which on all of its memory is reserved at once, so
	// that it is not copied again while it grows.
	knownBodyFraction = 1.0 / 4
	// minBodyBytes and maxRoundedBodyBytes bound the buffers whose size is rounded up to a power of two, so that later
	// requests can use them again.
	minBodyBytes        = 4 << 10
	maxRoundedBodyBytes = 32 << 10
)

// GrownBodyBytes returns the capacity of the buffer for a body that has grown to size bytes. contentLength is the
// length that the client has stated, or negative; no body exceeds limit.
func GrownBodyBytes(size int, contentLength, limit int64) int {
	if size <= maxRoundedBodyBytes && contentLength <= maxRoundedBodyBytes {
		size = max(size, int(contentLength), minBodyBytes)
		return 1 << bits.Len(uint(size-1))
	}
	if contentLength > 0 && float64(size) >= knownBodyFraction*float64(contentLength) {
		return int(contentLength)
	}
	return int(min(2*int64(size), limit))
}
