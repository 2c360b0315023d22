// Package streamwatch decides what becomes of an answer that has begun to stream: the module has handed it over by
// then. It tells a decode server that has fallen silent from one that is only slow and from a client that does not
// read, and keeps the end of the client's time. It does no I/O and reads no clock.
package streamwatch

// Verdict is what to do with a stream.
type Verdict uint8

const (
	Continue         Verdict = iota
	ServerSilent             // its decode server gives no more tokens: end it, the client is told that it is failed
	ClientNotReading         // its client takes nothing: end it
	DeadlineReached          // the client's time is nearly up: the final answer has to leave now
)

func (v Verdict) String() string {
	return [...]string{"goes on", "decode server silent", "client does not read", "time is up"}[v]
}

const (
	// silentGaps is how many wanted gaps between tokens a decode server may be silent: a batch that was held up by long
	// reads or a preemption takes tens of gaps, a dead one for ever.
	silentGaps = 60
	// silentLeast is the same as a part of the request's expected time, where gaps are short: a decode server that reads
	// an answer anew after it ran out of memory needs about a first token's time.
	silentLeast = 1
	// silenceMargin is the part of what a client may be left waiting that is kept for its end to arrive.
	silenceMargin = 10
	// unreadTimes is how many silences a client may take nothing: it pays for its own time only.
	unreadTimes = 4
)

// Stream is what is known of one. Times are nanoseconds on one clock.
type Stream struct {
	FirstTokenAt     int64 // its first token came
	LastTokenAt      int64 // its last token came
	TargetTokenGap   int64 // wanted between tokens
	FirstTokenTarget int64 // expected time of its first token
	CallDeadline     int64 // the client's time is up; 0 = it has set none
	AnswerLeadTime   int64 // the final answer leaves so long before that
	MaxSilence       int64 // a client may be left waiting so long after its last token; 0 = not told
	ClientBlocked    bool  // what came is still waiting for the client, since Last at least
}

// Check tells what to do now, and when to judge again at the latest.
func Check(now int64, s Stream) (Verdict, int64) {
	if s.CallDeadline > 0 && now >= s.CallDeadline-s.AnswerLeadTime {
		return DeadlineReached, 0
	}
	limit, verdict := max(silentGaps*s.TargetTokenGap, silentLeast*s.FirstTokenTarget), ServerSilent
	if s.MaxSilence > 0 { // as long as is allowed: a slow server must not be taken for a dead one
		limit = s.MaxSilence - s.MaxSilence/silenceMargin
	}
	if s.ClientBlocked {
		limit, verdict = unreadTimes*limit, ClientNotReading
	}
	again := max(s.FirstTokenAt, s.LastTokenAt) + limit
	if now >= again {
		return verdict, 0
	}
	if s.CallDeadline > 0 {
		again = min(again, s.CallDeadline-s.AnswerLeadTime)
	}
	return Continue, again
}
