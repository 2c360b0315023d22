// Package discovery decides about the watch on the list of servers: when one that says nothing is given up, when the next is begun, and
// how long a new process waits for what its agent knows. It does no I/O and reads no clock.
//
// What discovery tells counts as told six seconds after it could be reached, heard or not. In that time a watch that
// fell silent just after its last byte has to be noticed, one try to begin another may fail, and the next has to succeed.
package discovery

const (
	// beat is how often a watch on which nothing changes gives a sign of life.
	heartbeat = int64(2e9)
	// Quiet is how long a watch may say nothing: a beat, and half of one for a busy machine.
	SilenceTimeout = heartbeat + heartbeat/2
	// Connect is how long a new watch may take to be connected, Answer how long then to begin its answer: the agent is on this
	// machine. One that is silent as discovery is down answers the call that is open when it is back.
	ConnectTimeout = heartbeat / 8
	AnswerTimeout  = 3 * heartbeat / 8
	// First is how long a new process waits for the list before it takes clients; after that it goes by the list it was started with.
	InitialListTimeout = heartbeat / 8

	// maxRetry is shorter than what a send may follow on news that a server drains: there is a call open, or soon is, at the
	// moment in which discovery is back.
	maxRetry = heartbeat / 8
	// maxAnswer is how long a discovery takes that answers by itself, and an eighth: one such call fits into the six seconds
	// after silence was noticed, and the next begins.
	maxAnswer = 9 * heartbeat / 8
	// maxRefusedRetry bounds how long a call that discovery refuses is put off: two more fit into the six seconds.
	maxRefusedRetry = heartbeat
)

// ReconnectDelay tells how long after a watch was lost or not to be had another is begun: failures is how many in a row were
// not to be had, and chance in [0, 1) spreads what all dispatchers do at once. An open call costs nothing while it waits.
func ReconnectDelay(failures int, chance float64) int64 {
	if failures == 0 { // one that worked was cut: all of them, it may be
		return int64(chance * float64(maxRetry))
	}
	return maxRetry/2 + int64(chance*float64(maxRetry/2))
}

// ResponseTimeout tells how long a new watch may take to begin its answer, and then to tell something. Where lists are asked for,
// and wherever calls were refused, so many in a row, it is discovery itself that answers, after two seconds at the latest,
// and a call that is given up before counts against the next.
func ResponseTimeout(asked bool, refusals int) int64 {
	if asked || refusals > 0 {
		return maxAnswer
	}
	return AnswerTimeout
}

// RetryDelay tells the same with regard to refusals, so many in a row.
func RetryDelay(failures, refusals int, chance float64) int64 {
	if refusals > 0 {
		return RefusedRetryDelay(refusals, chance)
	}
	return ReconnectDelay(failures, chance)
}

// RefusedRetryDelay tells the same after a call that discovery answered with a refusal, the so-manieth in a row: it is there and
// has more calls than it takes, so each refusal doubles the wait. Whole fleets that asked again at once kept each other out
// for as long as they did.
func RefusedRetryDelay(refusals int, chance float64) int64 {
	wait := int64(maxRefusedRetry)
	if refusals < 4 {
		wait = maxRetry << refusals
	}
	return wait/2 + int64(chance*float64(wait/2))
}
