// Package streamwatch decides when an answer that streams to its client is ended early. It distinguishes a decode
// server that has fallen silent from one that is slow and from a client that does not read, and it ends a stream before
// the client's deadline.
//
// The package does no I/O and reads no clock. All times are nanoseconds on one clock of the caller.
package streamwatch

// Verdict is what to do with a stream.
type Verdict uint8

// The verdicts.
const (
	Continue         Verdict = iota
	ServerSilent             // end it: the decode server sends no more tokens, and the request has failed
	ClientNotReading         // end it: the client reads nothing
	DeadlineReached          // end it now, so that the final answer reaches the client before its deadline
)

// verdictTexts are part of the interface: clients receive them as the reason of a failed request.
var verdictTexts = [...]string{
	Continue:         "goes on",
	ServerSilent:     "decode server silent",
	ClientNotReading: "client does not read",
	DeadlineReached:  "time is up",
}

// String returns the reason as clients receive it.
func (v Verdict) String() string { return verdictTexts[v] }

const (
	// maxSilenceGaps is how many target gaps between tokens a decode server may be silent. A batch that is held up by
	// long prefills or a preemption is silent for tens of gaps, a dead server for ever.
	maxSilenceGaps = 60
	// minSilenceTargets is the least silence that is allowed, as a multiple of the first-token target. It counts where
	// gaps are short: a decode server that recomputes an answer after it ran out of memory needs about that time.
	minSilenceTargets = 1
	// silenceMarginDivisor divides the silence that a client tolerates into the part that is reserved for the end of the
	// stream to arrive.
	silenceMarginDivisor = 10
	// clientStallFactor is how many times longer a client may read nothing than a server may send nothing. Its own
	// deadline goes on meanwhile.
	clientStallFactor = 4
)

// Stream is what is known about a stream.
type Stream struct {
	FirstTokenAt     int64 // when the first token came
	LastTokenAt      int64 // when the last token came
	TargetTokenGap   int64 // target time between tokens
	FirstTokenTarget int64 // target time to the first token
	CallDeadline     int64 // the client's deadline; 0 if it has none
	AnswerLeadTime   int64 // the final answer is sent so long before the deadline
	MaxSilence       int64 // how long the client tolerates silence after a token; 0 if unknown
	ClientBlocked    bool  // received data waits for the client, at least since the last token
}

// Check returns what to do with a stream now and, with Continue, when to check it again at the latest.
func Check(now int64, s Stream) (verdict Verdict, checkAgainAt int64) {
	answerAt := s.CallDeadline - s.AnswerLeadTime
	if s.CallDeadline > 0 && now >= answerAt {
		return DeadlineReached, 0
	}
	limit, verdict := s.silenceLimit(), ServerSilent
	if s.ClientBlocked {
		limit, verdict = clientStallFactor*limit, ClientNotReading
	}
	checkAgainAt = max(s.FirstTokenAt, s.LastTokenAt) + limit
	if now >= checkAgainAt {
		return verdict, 0
	}
	if s.CallDeadline > 0 {
		checkAgainAt = min(checkAgainAt, answerAt)
	}
	return Continue, checkAgainAt
}

// silenceLimit returns how long the decode server may be silent. It is as long as the client tolerates, where that is
// known, so that a slow server is not taken for a dead one.
func (s Stream) silenceLimit() int64 {
	if s.MaxSilence > 0 {
		return s.MaxSilence - s.MaxSilence/silenceMarginDivisor
	}
	return max(maxSilenceGaps*s.TargetTokenGap, minSilenceTargets*s.FirstTokenTarget)
}
