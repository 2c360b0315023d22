// Package streamwatch decides when a streaming answer is ended early: when its decode server has gone silent, when its
// client does not read, and shortly before the client's deadline.
//
// The package does no I/O and reads no clock. All times are nanoseconds on one clock of the caller.
package streamwatch

// Verdict says whether a stream continues and, if not, why it is ended.
type Verdict uint8

// The verdicts.
const (
	Continue         Verdict = iota // the stream continues
	ServerSilent                    // ended: the decode server sends no more tokens, and the request has failed
	ClientNotReading                // ended: the client does not read
	DeadlineReached                 // ended now, so that the final answer reaches the client before its deadline
)

// verdictTexts are received by clients as the reason of a failed request, except that of Continue.
var verdictTexts = [...]string{
	Continue:         "continue",
	ServerSilent:     "decode server silent",
	ClientNotReading: "client does not read",
	DeadlineReached:  "time is up",
}

// String returns the text that clients receive.
func (v Verdict) String() string { return verdictTexts[v] }

const (
	// defaultMaxSilence is how long, in nanoseconds, a decode server may be silent if it is unknown what clients
	// tolerate. A server that ran out of memory recomputes an answer meanwhile, and long prefills delay its tokens.
	defaultMaxSilence = int64(3e9)
	// silenceMarginDivisor divides the silence that a client tolerates into the part that is left for the end of the
	// stream to reach the client.
	silenceMarginDivisor = 10
	// clientStallFactor is how many times longer a client may read nothing than a server may send nothing. The client's
	// deadline applies meanwhile.
	clientStallFactor = 4
	// maxTokenFactor is how many times longer a token may take whose bytes come one by one than a server may send nothing.
	maxTokenFactor = 4
	// byteSilenceDivisor divides the silence between two tokens into that between bytes of one token beyond it: a server
	// that hangs inside a token is still noticed before its client gives up.
	byteSilenceDivisor = 4
)

// Stream describes a streaming answer.
type Stream struct {
	FirstTokenAt   int64 // when the first token was received
	LastTokenAt    int64 // when the latest token was received
	LastByteAt     int64 // when the latest byte was received, even if its token is incomplete; 0 if unknown
	CallDeadline   int64 // the client's deadline; 0 if it has none
	AnswerLeadTime int64 // how long before the deadline the final answer is sent
	MaxSilence     int64 // how long the client tolerates silence after a token; 0 if unknown
	ClientBlocked  bool  // received data has waited for the client to read, at least since the latest token
}

// Check returns the verdict on a stream and, with Continue, the time by which to check it again.
func Check(now int64, s Stream) (verdict Verdict, checkAgainAt int64) {
	answerAt := s.CallDeadline - s.AnswerLeadTime
	if s.CallDeadline > 0 && now >= answerAt {
		return DeadlineReached, 0
	}
	limit, verdict := s.silenceLimit(), ServerSilent
	if s.ClientBlocked {
		limit, verdict = clientStallFactor*limit, ClientNotReading
	}
	lastTokenAt := max(s.FirstTokenAt, s.LastTokenAt)
	checkAgainAt = lastTokenAt + limit
	if !s.ClientBlocked && s.LastByteAt > lastTokenAt {
		bytesEnd := s.LastByteAt + limit/byteSilenceDivisor
		checkAgainAt = max(checkAgainAt, min(bytesEnd, lastTokenAt+maxTokenFactor*limit))
	}
	if now >= checkAgainAt {
		return verdict, 0
	}
	if s.CallDeadline > 0 {
		checkAgainAt = min(checkAgainAt, answerAt)
	}
	return Continue, checkAgainAt
}

// silenceLimit returns how long the decode server may be silent: as long as the client tolerates, less a margin, if
// that is known, so that a slow server is not mistaken for a dead one.
func (s Stream) silenceLimit() int64 {
	if s.MaxSilence > 0 {
		return s.MaxSilence - s.MaxSilence/silenceMarginDivisor
	}
	return defaultMaxSilence
}
