// Package discovery decides about the watch on the endpoint list: when a silent one is given up, when the next is
// opened, and how long a new process waits for its first list.
//
// The service counts an update as delivered six seconds after discovery could be reached, received or not. Within that
// time a watch that fell silent just after its last byte must be noticed, one attempt to open another may fail, and the
// next attempt must succeed.
//
// The package does no I/O and reads no clock. All durations are nanoseconds.
package discovery

const (
	// heartbeatInterval is how often a watch without updates sends a sign of life.
	heartbeatInterval = int64(2e9)

	// SilenceTimeout is how long a watch may send nothing: one heartbeat interval, and half of one for a busy machine.
	SilenceTimeout = heartbeatInterval + heartbeatInterval/2
	// ConnectTimeout is how long a new watch may take to connect. Discovery is reached by an agent on this machine.
	ConnectTimeout = heartbeatInterval / 8
	// AnswerTimeout is how long a connected watch may take to begin its answer. While discovery is down, the agent is
	// silent, and answers the call that is open when it is back.
	AnswerTimeout = 3 * heartbeatInterval / 8
	// InitialListTimeout is how long a new process waits for the list before it accepts clients; after that it uses the
	// list that it was started with.
	InitialListTimeout = heartbeatInterval / 8

	// maxReconnectDelay bounds the delay before a watch is opened again, so that a call is open, or soon is, when
	// discovery is back. It is shorter than the time in which an attempt may still be sent to a server that drains.
	maxReconnectDelay = heartbeatInterval / 8
	// pollAnswerTimeout is how long discovery may take where it answers by itself, and an eighth more: one such call and
	// the start of the next fit into the six seconds after silence was noticed.
	pollAnswerTimeout = 9 * heartbeatInterval / 8
	// maxRejectedDelay bounds the delay after rejected calls: two more calls fit into the six seconds.
	maxRejectedDelay = heartbeatInterval
	// maxDelayDoublings is the number of consecutive rejections after which the delay is at its bound.
	maxDelayDoublings = 3
)

// RetryDelay returns the delay before the next watch is opened, after so many consecutive watches that could not be
// opened and consecutive calls that discovery rejected. random in [0, 1) spreads the calls of all dispatchers.
func RetryDelay(failures, rejections int, random float64) int64 {
	if rejections > 0 {
		return rejectedDelay(rejections, random)
	}
	return reconnectDelay(failures, random)
}

// reconnectDelay returns the delay after a watch that was lost or could not be opened. An open call costs nothing while
// it waits, so the delay does not grow.
func reconnectDelay(failures int, random float64) int64 {
	if failures == 0 { // a working watch was lost, possibly those of all dispatchers at once
		return int64(random * float64(maxReconnectDelay))
	}
	return maxReconnectDelay/2 + int64(random*float64(maxReconnectDelay/2))
}

// rejectedDelay returns the delay after calls that discovery rejected. It is up then, and has more calls than it takes,
// so each rejection doubles the delay. Without that, dispatchers that called again at once kept each other rejected.
func rejectedDelay(rejections int, random float64) int64 {
	delay := maxRejectedDelay
	if rejections <= maxDelayDoublings {
		delay = maxReconnectDelay << rejections
	}
	return delay/2 + int64(random*float64(delay/2))
}

// ResponseTimeout returns how long a new watch may take to begin its answer, and then to send the first data. Where
// lists are polled, and after rejected calls, discovery itself answers, after two seconds at the latest; a call that is
// given up earlier counts against the next one.
func ResponseTimeout(polling bool, rejections int) int64 {
	if polling || rejections > 0 {
		return pollAnswerTimeout
	}
	return AnswerTimeout
}
