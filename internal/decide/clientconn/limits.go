package clientconn

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
	// partialRequestFraction is the fraction of the process's memory for partly received requests.
	partialRequestFraction = 1.0 / 16
)

// DescriptorShares returns how many descriptors client connections and connections to servers may use, of the given
// number for the process.
func DescriptorShares(descriptors int) (clients, servers int) {
	forProcess := baseProcessDescriptors + int(processDescriptorFraction*float64(descriptors))
	servers = max(int(serverConnFraction*float64(descriptors)), 1)
	return max(descriptors-forProcess-servers, 1), servers
}

// MaxPartialRequestBytes returns how many bytes of partly received requests may be kept in a process with the given
// memory in bytes.
func MaxPartialRequestBytes(memory int64) int64 {
	return int64(partialRequestFraction * float64(memory))
}
