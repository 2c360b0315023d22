package admission

const (
	// knownAfter is how many requests of a client must have been served before it has a flow of its own: an invented
	// name would have to be used as often.
	knownAfter = 3
	// knownWays is the number of clients in a set.
	knownWays = 4
	// hashMultiplier mixes a tenant's number into a client's hash (2^64 divided by the golden ratio).
	hashMultiplier = 0x9e3779b97f4a7c15
)

// knownClients counts the served requests of a bounded number of clients. It is a set-associative cache: of a full set,
// the client whose last request was served least recently is evicted.
type knownClients struct {
	sets [][knownWays]knownClient
}

type knownClient struct {
	hash        uint64
	tenant      int
	servedCount int
	expiresAt   Nanos
}

func newKnownClients(maxClients int) knownClients {
	return knownClients{sets: make([][knownWays]knownClient, max(maxClients/knownWays, 1))}
}

// tenantHash returns a hash of a client or source within its tenant.
func tenantHash(tenant int, hash uint64) uint64 { return hash ^ uint64(tenant)*hashMultiplier }

func (k *knownClients) set(tenant int, client uint64) *[knownWays]knownClient {
	return &k.sets[tenantHash(tenant, client)%uint64(len(k.sets))]
}

// matches reports whether this is the entry of a client that is remembered.
func (c *knownClient) matches(now Nanos, tenant int, client uint64) bool {
	return c.hash == client && c.tenant == tenant && now < c.expiresAt
}

// isKnown reports whether enough requests of a client were served.
func (k *knownClients) isKnown(now Nanos, tenant int, client uint64) bool {
	set := k.set(tenant, client)
	for i := range set {
		if set[i].matches(now, tenant, client) {
			return set[i].servedCount >= knownAfter
		}
	}
	return false
}

// recordServed records that a request of a client was served, which is remembered for the given time.
func (k *knownClients) recordServed(now Nanos, tenant int, client uint64, memory Nanos) {
	if client == 0 {
		return
	}
	set := k.set(tenant, client)
	oldest := 0
	for i := range set {
		if set[i].matches(now, tenant, client) {
			set[i].servedCount++
			set[i].expiresAt = now + memory
			return
		}
		if set[i].expiresAt < set[oldest].expiresAt {
			oldest = i
		}
	}
	set[oldest] = knownClient{hash: client, tenant: tenant, servedCount: 1, expiresAt: now + memory}
}
