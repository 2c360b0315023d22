package admission

const (
	// minServedRequests is how many requests of a client must have been served before it has a flow of its own, so
	// that an invented name does not get one at once.
	minServedRequests = 3
	// setSize is the number of entries of a set.
	setSize = 4
	// hashMultiplier mixes a tenant's number into a client's hash (2^64 divided by the golden ratio).
	hashMultiplier = 0x9e3779b97f4a7c15
)

// knownClients counts the served requests of a bounded number of clients. It is a set-associative cache: a full set
// evicts the client whose last request was served least recently.
type knownClients struct {
	sets [][setSize]knownClient
}

// knownClient is an entry of the cache.
type knownClient struct {
	hash        uint64
	tenant      int
	servedCount int
	expiresAt   Nanos
}

func newKnownClients(maxClients int) knownClients {
	return knownClients{sets: make([][setSize]knownClient, max(maxClients/setSize, 1))}
}

// tenantHash returns a hash of a client or source within its tenant.
func tenantHash(tenant int, hash uint64) uint64 { return hash ^ uint64(tenant)*hashMultiplier }

// set returns the set that may hold a client.
func (k *knownClients) set(tenant int, client uint64) *[setSize]knownClient {
	return &k.sets[tenantHash(tenant, client)%uint64(len(k.sets))]
}

// matches reports whether c is the entry of the given client and has not expired.
func (c *knownClient) matches(now Nanos, tenant int, client uint64) bool {
	return c.hash == client && c.tenant == tenant && now < c.expiresAt
}

// isKnown reports whether enough requests of a client have been served.
func (k *knownClients) isKnown(now Nanos, tenant int, client uint64) bool {
	set := k.set(tenant, client)
	for i := range set {
		if set[i].matches(now, tenant, client) {
			return set[i].servedCount >= minServedRequests
		}
	}
	return false
}

// recordServed records that a request of a client was served. The client is remembered for the given duration.
func (k *knownClients) recordServed(now Nanos, tenant int, client uint64, retention Nanos) {
	if client == 0 {
		return
	}
	set := k.set(tenant, client)
	oldest := 0
	for i := range set {
		if set[i].matches(now, tenant, client) {
			set[i].servedCount++
			set[i].expiresAt = now + retention
			return
		}
		if set[i].expiresAt < set[oldest].expiresAt {
			oldest = i
		}
	}
	set[oldest] = knownClient{hash: client, tenant: tenant, servedCount: 1, expiresAt: now + retention}
}
