package scenario

// benchDay is the part of a day file of the bench that a script can represent. Its times are in microseconds.
type benchDay struct {
	Length  int64    `json:"length"`
	Zones   []string `json:"zones"`
	Traffic struct {
		Load float64 `json:"load"`
	} `json:"traffic"`
	Clients struct {
		Retries int `json:"retries"`
	} `json:"clients"`
	Discovery struct {
		Delay int64 `json:"notice"`
	} `json:"discovery"`
	Limits struct {
		MaxAttempts int64 `json:"max_attempts"`
	} `json:"allow"`
	OverloadFactor float64      `json:"fall_multiple"`
	OverloadWindow int64        `json:"fall_for"`
	Classes        []benchClass `json:"classes"`
	Tiers          []struct {
		Kinds []benchServerKind `json:"kinds"`
	} `json:"tiers"`
	Servers     []benchServer `json:"servers"`
	Dispatchers []struct {
		Zone int `json:"zone"`
	} `json:"balancers"`
	Faults  []benchFault `json:"troubles"`
	Serving struct {
		ReleaseTime   int64               `json:"release"`
		TransferRate  float64             `json:"near"`
		Roles         []string            `json:"roles"`
		Engines       []benchEngine       `json:"engines"`
		Conversations []benchConversation `json:"talks"`
	} `json:"fam"`
}

// benchClass is a class of requests in a day.
type benchClass struct {
	Name          string  `json:"name"`
	Share         float64 `json:"share"`
	LatencyTarget int64   `json:"aim"`
	Timeout       int64   `json:"deadline"`
	Value         float64 `json:"worth"`
	Idempotency   string  `json:"effect"`
	DedupScope    string  `json:"group"`
	DedupWindow   int64   `json:"window"`
}

// benchServerKind is a kind of servers in a day.
type benchServerKind struct {
	Name            string  `json:"name"`
	Slots           int     `json:"slots"`
	QueueLength     int     `json:"queue"`
	InitialCapacity float64 `json:"cold_from"`
	WarmupTime      int64   `json:"cold"`
}

// benchServer is a server. Zone, Cell and Kind are indexes.
type benchServer struct {
	Zone  int     `json:"zone"`
	Kind  int     `json:"kind"`
	Cell  int     `json:"cell"`
	Speed float64 `json:"speed"`
	IsUp  bool    `json:"up"`
}

// benchFault is a fault. Targets holds indexes of servers or dispatchers; Index is that of a class or a zone.
type benchFault struct {
	Kind     string  `json:"kind"`
	Start    int64   `json:"at"`
	Duration int64   `json:"len"`
	Factor   float64 `json:"size"`
	Targets  []int   `json:"on"`
	Index    int     `json:"which"`
}

// benchEngine holds the speed and memory of a kind of servers.
type benchEngine struct {
	MemoryTokens     int64   `json:"memory"`
	PrefillRate      float64 `json:"read_per_s"`
	StepMilliseconds float64 `json:"step_ms"`
}

// benchConversation describes the conversations of a class. Token counts and turns are means.
type benchConversation struct {
	TargetPer1kMilliseconds float64 `json:"aim_ms_per_k"`
	MaxAnswerTokens         int     `json:"max_out"`
	TurnTokens              float64 `json:"new_tokens"`
	AnswerTokens            float64 `json:"out_tokens"`
	PrefixTokens            float64 `json:"prefix_tokens"`
	TokenGapMilliseconds    float64 `json:"token_aim_ms"`
	Turns                   float64 `json:"turns"`
}
