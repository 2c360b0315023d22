// Package discovery decides about the watch on the endpoint list: when a silent watch is abandoned, when the next one
// is opened, and how long a new process waits for its first list.
//
// The platform counts an update as delivered six seconds after discovery could be reached, whether it was received or
// not. The timeouts here fit into that time: a watch that went silent right after its last byte is detected, one
// attempt to open another watch fails, and the next attempt succeeds.
//
// The package does no I/O and reads no clock. All durations are nanoseconds.
package discovery

const (
	// heartbeatInterval is the interval at which discovery sends a heartbeat on a watch without updates.
	heartbeatInterval = int64(2e9)

	// SilenceTimeout is how long a watch may be silent: one heartbeat interval, and half of one for scheduling delays.
	SilenceTimeout = heartbeatInterval + heartbeatInterval/2
	// ConnectTimeout is how long a new watch may take to connect. It connects to the discovery agent on this machine.
	ConnectTimeout = heartbeatInterval / 8
	// agentResponseTimeout is how long the agent may take to begin the response to a new watch. While discovery is
	// down, the agent leaves a call open and responds once discovery is back.
	agentResponseTimeout = 3 * heartbeatInterval / 8
	// InitialListTimeout is how long a new process waits for the endpoint list before it accepts clients with the list
	// that it was started with.
	InitialListTimeout = heartbeatInterval / 8

	// maxReconnectDelay bounds the delay before a watch is opened again, so that a call is open, or soon will be, when
	// discovery is back. It is shorter than the time in which an attempt may still be sent to a draining server.
	maxReconnectDelay = heartbeatInterval / 8
	// directResponseTimeout is how long discovery may take to respond where it responds itself, with an eighth of the
	// heartbeat interval as a margin. One such call and the start of the next fit into the six seconds.
	directResponseTimeout = 9 * heartbeatInterval / 8
	// maxRejectedDelay bounds the delay after rejected calls, so that two more calls fit into the six seconds.
	maxRejectedDelay = heartbeatInterval
	// maxDelayDoublings is the number of consecutive rejections up to which the delay doubles.
	maxDelayDoublings = 3
)

// RetryDelay returns the delay before the next watch is opened. failures is the number of consecutive watches that
// could not be opened, rejections the number of consecutive calls that discovery rejected. random is in [0, 1) and
// spreads out the calls of different dispatchers.
func RetryDelay(failures, rejections int, random float64) int64 {
	if rejections > 0 {
		return rejectedDelay(rejections, random)
	}
	return reconnectDelay(failures, random)
}

// reconnectDelay returns the delay after a watch that was lost or could not be opened. It does not grow with the number
// of failures, as an open call costs nothing while it waits.
func reconnectDelay(failures int, random float64) int64 {
	if failures == 0 { // an established watch was lost, possibly on all dispatchers at once
		return int64(random * float64(maxReconnectDelay))
	}
	return maxReconnectDelay/2 + int64(random*float64(maxReconnectDelay/2))
}

// rejectedDelay returns the delay after calls that discovery rejected. Discovery is then up but overloaded, so each
// rejection doubles the delay; dispatchers that retried at once would keep it overloaded.
func rejectedDelay(rejections int, random float64) int64 {
	delay := maxRejectedDelay
	if rejections <= maxDelayDoublings {
		delay = maxReconnectDelay << rejections
	}
	return delay/2 + int64(random*float64(delay/2))
}

// ResponseTimeout returns how long the response to a new watch may take to begin, and then to send its first data.
// Where lists are polled, and after rejected calls, discovery itself responds, within two seconds; a call that is
// abandoned earlier counts against the next one.
func ResponseTimeout(polling bool, rejections int) int64 {
	if polling || rejections > 0 {
		return directResponseTimeout
	}
	return agentResponseTimeout
}
