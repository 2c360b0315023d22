package clientconn

const (
	// processDescriptorFraction is the fraction of the descriptors that is kept for the process itself, and
	// minProcessDescriptors is added to it: for the log, the endpoint list and descriptors between two owners.
	processDescriptorFraction = 1.0 / 32
	minProcessDescriptors     = 24
	// serverConnFraction is the fraction of all descriptors for connections to servers. Clients hold as many for
	// requests, each of which has one outstanding attempt at most. The rest is also for clients, as more of them
	// connect than send requests.
	serverConnFraction = 1.0 / 3
	// partialRequestFraction is the fraction of the memory that requests received in part may use.
	partialRequestFraction = 1.0 / 16
)

// DescriptorShares returns how many of the process's descriptors connections of clients and to servers may use.
func DescriptorShares(descriptors int) (clients, servers int) {
	forProcess := minProcessDescriptors + int(processDescriptorFraction*float64(descriptors))
	servers = max(int(serverConnFraction*float64(descriptors)), 1)
	return max(descriptors-forProcess-servers, 1), servers
}

// MaxPartialRequestBytes returns how many bytes of requests received in part may be kept in a process with so many
// bytes of memory.
func MaxPartialRequestBytes(memory int64) int64 {
	return int64(partialRequestFraction * float64(memory))
}
