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
	Index        int32          `json:"number"` // of this dispatcher among all, from 0
	Count        int32          `json:"count"`  // of all dispatchers
	Seed         uint64         `json:"seed"`   // of the random source; 0 = taken from the clock
	HashKey      uint64         `json:"hash_key"`
	Discovery    Discovery      `json:"fleet" need:"where the list of engines comes from"`
	Classes      []Class        `json:"classes" was:"tracks" need:"a list of classes"`
	Tenants      []Tenant       `json:"tenants"`
	SlowStart    SlowStart      `json:"cold_start" need:"how much a server that has just started can do"`
	Attempts     AttemptLimits  `json:"attempts" was:"launches"`
	Responses    Responses      `json:"answers"`
	Rules        Rules          `json:"rules" need:"the times of the rules"`
	Limits       Limits         `json:"limits"`
	Batch        Batch          `json:"batch"`
	StatusFile   string         `json:"status_file"`  // written every second, for docksail status
	FIFO         bool           `json:"first_come"`   // admits in order of arrival: a baseline to measure against
	DrainTimeout time.Duration  `json:"drain_within"` // of requests in flight, from the signal to drain

	Warnings []string // one for each deprecated name that was read
}

// Batch configures the batch API, which runs only if an address to listen on is set.
type Batch struct {
	Listen              netip.AddrPort `json:"listen"`
	Directory           string         `json:"dir"`         // of files and results
	QuotaBytes          int64          `json:"quota_bytes"` // of a tenant's files; 0 = unlimited
	MaxFileBytes        int64          `json:"file_bytes"`
	MaxLineBytes        int            `json:"line_bytes"`
	MaxLines            int            `json:"lines"`     // of a file
	MaxLinesInFlight    int            `json:"lines_out"` // at once
	InitialBackoff      time.Duration  `json:"again_after"`
	MaxCompletionWindow time.Duration  `json:"longest_window"`
	FileRetention       time.Duration  `json:"keep_files"` // 0 = unlimited
	Keys                []Key          `json:"keys"`
}

// Key authenticates a caller of the batch API.
type Key struct {
	Hash   string `json:"sha256" need:"the SHA-256 of the key, in hex"`
	Tenant string `json:"tenant"`
}

// Discovery says where the list of engines comes from: a discovery server that is watched, or a file.
type Discovery struct {
	Watch         netip.AddrPort `json:"watch"`
	File          string         `json:"file"`
	CacheFile     string         `json:"keep"`       // keeps the list for the next start
	RetryInterval time.Duration  `json:"ask_within"` // a list that is lost is asked for several times in this time
}

// Class is one class of requests: those with the same latency targets, value and idempotency.
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

// Tenant is one payer.
type Tenant struct {
	Name string `json:"name" need:"a name"`
	//nolint:lll // a struct tag cannot be split
	RequestsPerSecond    float64 `json:"requests_per_second" was:"jobs_per_second" need:"the requests a second it is entitled to, over all dispatchers"`
	Weight               float64 `json:"weight"`          // its share of the admission queue; 0 = RequestsPerSecond
	MaxRequestsPerSecond float64 `json:"most_per_second"` // that this dispatcher admits of it; 0 = unlimited
	MaxWaiting           int     `json:"most_waiting"`    // its requests in the admission queue; 0 = as many as fit
	MaxRunning           int     `json:"most_running"`    // its requests admitted and not ended; 0 = unlimited
	MaxPromptTokens      int64   `json:"prompt_tokens"`   // of one request; 0 = Limits.MaxPromptTokens
}

// SlowStart describes how much a server that has just started can do.
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

// Responses configures final answers.
type Responses struct {
	DeadlineMargin time.Duration `json:"ahead"` // answers are sent this long before the client's deadline
	RoundInterval  time.Duration `json:"round"`
	SendRetryAfter bool          `json:"advice"`
	MaxRetryAfter  time.Duration `json:"most_advice"`
}

// Rules holds the times that the rules of the fleet set.
type Rules struct {
	ReleaseTime time.Duration `json:"release_within" need:"the time in which KV state is fetched or released"`
	DrainGrace  time.Duration `json:"drain_grace"`
}

// Limits bounds what the dispatcher holds. A field that is not set has its value of Default.
type Limits struct {
	MaxRequests       int `json:"requests" was:"jobs"` // in flight
	MaxConnections    int `json:"connections"`         // of clients
	MaxStreams        int `json:"streams"`             // of one connection
	StreamWindowBytes int `json:"stream_window"`       // that an engine may be ahead of a client
	MaxMessageBytes   int `json:"message_bytes"`
	MaxHeaderBytes    int `json:"header_bytes"`
	MaxPromptTokens   int `json:"prompt_tokens"`
	MaxOutputBytes    int `json:"output_bytes"`                        // queued for one connection
	MaxPartialBytes   int `json:"partial_bytes"`                       // of incomplete messages, on all connections
	MaxWaiting        int `json:"requests_waiting" was:"jobs_waiting"` // in the admission queue
	MaxClients        int `json:"clients_known"`
	MaxMemoryBytes    int `json:"memory_bytes"` // of heap, above which waiting requests are shed; 0 = unlimited
}

// Load reads the configuration in a file. The error names everything that is wrong with it, a line each.
func Load(name string) (*Dispatcher, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, text)
}

// Parse reads a configuration; name stands for the file in errors.
func Parse(name string, text []byte) (*Dispatcher, error) {
	config := Default()
	decoder := newDecoder(name, text)
	decoder.decode(config)
	if len(decoder.errs) == 0 {
		config.check(decoder.invalid)
	}
	if err := decoder.err(); err != nil {
		return nil, err
	}
	config.Warnings = decoder.warnings
	return config, nil
}

// Default returns the values of fields that a file does not set.
func Default() *Dispatcher {
	return &Dispatcher{
		Count:        1,
		Discovery:    Discovery{RetryInterval: 4 * time.Second},
		Attempts:     AttemptLimits{MaxAttempts: 5, CanCancel: true, ConnectTimeout: time.Second},
		Rules:        Rules{DrainGrace: 500 * time.Millisecond},
		DrainTimeout: 30 * time.Second,
		Responses: Responses{
			DeadlineMargin: 20 * time.Millisecond,
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
			MaxClients:        16384,
		},
	}
}
