package config

import (
	"net/netip"
	"os"
	"time"
)

// Dispatcher is the configuration of one dispatcher.
type Dispatcher struct {
	Listen       netip.AddrPort `json:"listen" need:"an address and port, as \"127.0.0.1:7600\""`
	SharePort    bool           `json:"share_port"` // several processes may listen on the port
	Zone         string         `json:"zone"`
	Index        int32          `json:"number"`   // index of this dispatcher, from 0 to Count-1
	Count        int32          `json:"count"`    // number of all dispatchers
	Seed         uint64         `json:"seed"`     // seed of the random source; 0 = taken from the clock
	HashKey      uint64         `json:"hash_key"` // seed of the hashes of prefixes, equal at all dispatchers
	Discovery    Discovery      `json:"fleet" need:"where the list of engines comes from"`
	Classes      []Class        `json:"classes" was:"tracks" need:"a list of classes"`
	Tenants      []Tenant       `json:"tenants"`
	SlowStart    SlowStart      `json:"cold_start" need:"how much a server that has just started can do"`
	Attempts     AttemptLimits  `json:"attempts" was:"launches"`
	Responses    Responses      `json:"answers"`
	Rules        Rules          `json:"rules" need:"the times of the rules"`
	Limits       Limits         `json:"limits"`
	Batch        Batch          `json:"batch"`
	StatusFile   string         `json:"status_file"`  // written every second; read by docksail status
	FIFO         bool           `json:"first_come"`   // admit in order of arrival, as a baseline for measurements
	DrainTimeout time.Duration  `json:"drain_within"` // time for requests in flight to finish after the signal to drain

	Warnings []string // one for each former name that was read
}

// Batch configures the batch API, which is started only if Listen is set.
type Batch struct {
	Listen              netip.AddrPort `json:"listen"`
	Directory           string         `json:"dir"`         // for files and results
	QuotaBytes          int64          `json:"quota_bytes"` // total size of a tenant's files; 0 = unlimited
	MaxFileBytes        int64          `json:"file_bytes"`
	MaxLineBytes        int            `json:"line_bytes"`
	MaxLines            int            `json:"lines"`       // of a file
	MaxLinesInFlight    int            `json:"lines_out"`   // over all batches
	InitialBackoff      time.Duration  `json:"again_after"` // before the first retry of a line
	MaxCompletionWindow time.Duration  `json:"longest_window"`
	FileRetention       time.Duration  `json:"keep_files"` // age at which files are deleted; 0 = unlimited
	Keys                []Key          `json:"keys" secret:"true"`
}

// Key is an API key of the batch API and the tenant that it authenticates.
type Key struct {
	Hash   string `json:"sha256" need:"the SHA-256 of the key, in hex"`
	Tenant string `json:"tenant"`
}

// Discovery is the source of the list of engines: either a discovery server that is watched, or a file.
type Discovery struct {
	Watch           netip.AddrPort `json:"watch"`
	File            string         `json:"file"`
	CacheFile       string         `json:"keep"`       // where the list is saved for the next start
	MaxListInterval time.Duration  `json:"ask_within"` // several requests are made within it after a failure
}

// Class is a class of requests, which have the same latency targets, value and idempotency.
type Class struct {
	Name               string        `json:"name" need:"a name"`
	LatencyTarget      time.Duration `json:"target" was:"expected" need:"the time in which the first token is wanted"`
	LatencyTargetPer1k time.Duration `json:"target_per_1000_tokens" was:"expected_per_1000_tokens"`
	Timeout            time.Duration `json:"timeout" was:"patience" need:"the client's whole time"`
	Value              float64       `json:"value" was:"payoff"`
	LateValue          float64       `json:"late_value" was:"late_payoff"`
	InterTokenTarget   time.Duration `json:"token_gap" need:"the time wanted between tokens"`
	Idempotency        Idempotency   `json:"effect" need:"idempotent, deduplicated or non_idempotent"`
	DedupScope         DedupScope    `json:"group"`
	DedupWindow        time.Duration `json:"window"`
}

// Tenant is a customer with its share of the admission queue and its limits at this dispatcher.
type Tenant struct {
	Name string `json:"name" need:"a name"`
	//nolint:lll // a struct tag cannot be split
	RequestsPerSecond    float64 `json:"requests_per_second" was:"jobs_per_second" need:"the requests a second it is entitled to, over all dispatchers"`
	Weight               float64 `json:"weight"`          // weight in the admission queue; 0 = RequestsPerSecond
	MaxRequestsPerSecond float64 `json:"most_per_second"` // rate at which requests are admitted; 0 = unlimited
	MaxWaiting           int     `json:"most_waiting"`    // requests in the admission queue; 0 = as many as fit
	MaxRunning           int     `json:"most_running"`    // requests admitted and not ended; 0 = unlimited
	MaxPromptTokens      int64   `json:"prompt_tokens"`   // of one request; 0 = Limits.MaxPromptTokens
}

// SlowStart describes the capacity of servers that have just started, and what overloads them.
type SlowStart struct {
	InitialCapacity float64       `json:"from" need:"the share of its capacity with which a server starts"`
	WarmupTime      time.Duration `json:"warm_after" need:"the time after which it is warm"`
	//nolint:lll // a struct tag cannot be split
	OverloadFactor float64       `json:"overload_factor" was:"topples_at" need:"the multiple of what it can do at which it fails"`
	OverloadWindow time.Duration `json:"overload_window" was:"topples_over" need:"the time over which it fails"`
}

// AttemptLimits bounds the attempts of a request.
type AttemptLimits struct {
	MaxAttempts      int32         `json:"most"`
	CanCancel        bool          `json:"cancel" was:"recall"`
	DecodeCanPrefill bool          `json:"decode_reads" was:"writers_read"`
	ConnectTimeout   time.Duration `json:"connect_within"`
}

// Responses configures the final answers to clients.
type Responses struct {
	AnswerLeadTime time.Duration `json:"ahead"` // answers are sent this long before the client's deadline
	RoundInterval  time.Duration `json:"round"` // between two rounds of decisions
	SendRetryAfter bool          `json:"advice"`
	MaxRetryAfter  time.Duration `json:"most_advice"`
}

// Rules holds the time limits that all dispatchers and engines of the fleet have in common.
type Rules struct {
	ReleaseTime time.Duration `json:"release_within" need:"the time in which KV state is fetched or released"`
	// DrainGrace is how long attempts may follow the notice that a server drains. A dispatcher sends none from the notice
	// on, whatever the value; the laboratory judges by it.
	DrainGrace time.Duration `json:"drain_grace"`
}

// Limits bounds the resources of the dispatcher. A field that is not set has its value in Default.
type Limits struct {
	MaxRequests       int `json:"requests" was:"jobs"` // in flight
	MaxConnections    int `json:"connections"`         // of clients
	MaxStreams        int `json:"streams"`             // of one connection
	StreamWindowBytes int `json:"stream_window"`       // flow-control window; an engine may be this far ahead of a client
	MaxMessageBytes   int `json:"message_bytes"`
	MaxHeaderBytes    int `json:"header_bytes"`
	MaxPromptTokens   int `json:"prompt_tokens"`
	MaxOutputBytes    int `json:"output_bytes"`                        // queued for one connection
	MaxPartialBytes   int `json:"partial_bytes"`                       // of incomplete messages, on all connections
	MaxWaiting        int `json:"requests_waiting" was:"jobs_waiting"` // in the admission queue
	// MaxKnownClients is the number of clients whose recent use is remembered.
	MaxKnownClients int `json:"clients_known"`
	MaxMemoryBytes  int `json:"memory_bytes"` // of heap, above which waiting requests are shed; 0 = unlimited
}

// Load reads the configuration in a file. The error lists everything that is wrong with the file, one line each.
func Load(name string) (*Dispatcher, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, text)
}

// Parse decodes and checks a configuration; name stands for the file in errors.
func Parse(name string, text []byte) (*Dispatcher, error) {
	config := Default()
	decoder := newDecoder(name, text)
	decoder.decode(config)
	if len(decoder.errs) == 0 {
		config.check(decoder.addError)
	}
	if err := decoder.err(); err != nil {
		return nil, err
	}
	config.Warnings = decoder.warnings
	return config, nil
}

// Default returns a configuration with the values of fields that a file does not set.
func Default() *Dispatcher {
	return &Dispatcher{
		Count:        1,
		Discovery:    Discovery{MaxListInterval: 4 * time.Second},
		Attempts:     AttemptLimits{MaxAttempts: 5, CanCancel: true, ConnectTimeout: time.Second},
		Rules:        Rules{DrainGrace: 500 * time.Millisecond},
		DrainTimeout: 30 * time.Second,
		Responses: Responses{
			AnswerLeadTime: 20 * time.Millisecond,
			RoundInterval:  time.Millisecond,
			SendRetryAfter: true,
			MaxRetryAfter:  time.Minute,
		},
		Batch: Batch{
			MaxFileBytes:        200 << 20,
			MaxLineBytes:        1 << 20,
			MaxLines:            100000,
			MaxLinesInFlight:    64,
			InitialBackoff:      500 * time.Millisecond,
			MaxCompletionWindow: 7 * 24 * time.Hour,
		},
		Limits: Limits{
			MaxRequests:       20000,
			MaxConnections:    20000,
			MaxStreams:        10000,
			StreamWindowBytes: 64 << 10,
			MaxMessageBytes:   4 << 20,
			MaxHeaderBytes:    16 << 10,
			MaxPromptTokens:   1 << 20,
			MaxOutputBytes:    4 << 20,
			MaxPartialBytes:   256 << 20,
			MaxWaiting:        10000,
			MaxKnownClients:   16384,
		},
	}
}
