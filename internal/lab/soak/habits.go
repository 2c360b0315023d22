package soak

import (
	"io"
	"math/rand/v2"
	"time"
)

// habit is the way in which a client uses its connection. Whatever its habit, a client keeps to its connection as long
// as it stays open, and to what an answer says about closing it.
type habit int

const (
	roaming   habit = iota // changes its dispatcher now and then
	hurrying               // sends its next request at once
	resting                // rests between requests, and sends one shortly before its dispatcher is killed
	piecemeal              // sends requests in pieces, with pauses
	habitCount
)

const (
	maxThinkTime = 60 * time.Millisecond   // longest pause between two requests
	maxRestTime  = 1500 * time.Millisecond // longest pause of a resting client
	maxPieces    = 4
	maxPause     = 300 * time.Millisecond // between two pieces of a request
	// lastMoment is the time before a planned SIGKILL in which resting clients send.
	lastMoment = 30 * time.Millisecond
	// watchInterval is the time between two looks of a resting client at whether its dispatcher is to be killed.
	watchInterval = 5 * time.Millisecond
)

// chooseDispatcher returns the dispatcher of the next request.
func (c *Client) chooseDispatcher(rng *rand.Rand) *Dispatcher {
	other := c.fleet.Dispatchers[rng.IntN(len(c.fleet.Dispatchers))]
	leaves := rng.IntN(3) == 0
	switch {
	case c.dispatcher == nil, c.conn == nil:
		return other
	case c.habit == roaming && leaves:
		return other
	}
	return c.dispatcher
}

// drawPauses returns the pauses between the pieces of the next request.
func (c *Client) drawPauses(rng *rand.Rand) []time.Duration {
	if c.habit != piecemeal {
		return nil
	}
	pauses := make([]time.Duration, rng.IntN(maxPieces))
	for i := range pauses {
		pauses[i] = randomDuration(rng, time.Millisecond, maxPause)
	}
	return pauses
}

// write writes a request to the connection, in pieces of similar size if it has pauses.
func (c *Client) write(r Request) error {
	text := r.text()
	size := len(text)/(len(r.Pauses)+1) + 1
	for _, pause := range r.Pauses {
		if _, err := io.WriteString(c.conn, text[:size]); err != nil {
			return err
		}
		text = text[size:]
		time.Sleep(pause)
	}
	_, err := io.WriteString(c.conn, text)
	return err
}

// pause waits until the client sends its next request.
func (c *Client) pause(rng *rand.Rand) {
	switch {
	case c.habit == hurrying && c.conn != nil:
		return
	case c.habit == resting:
		c.rest(rng, randomDuration(rng, time.Millisecond, maxRestTime))
	default:
		time.Sleep(randomDuration(rng, time.Millisecond, maxThinkTime))
	}
}

// rest waits for a duration. If the client's dispatcher is to be killed, it waits until shortly before that instead,
// half of the time on a connection that has not been used yet.
func (c *Client) rest(rng *rand.Rand, duration time.Duration) {
	beforeKill, changesConn := randomDuration(rng, 0, lastMoment), rng.IntN(2) == 0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(watchInterval) {
		if c.dispatcher == nil {
			continue
		}
		_, killTime := c.dispatcher.termination()
		if killTime.IsZero() {
			continue
		}
		if c.conn == nil || changesConn {
			c.Close()
			_ = c.connect(c.dispatcher) // an error means that the listener is closed already
		}
		time.Sleep(time.Until(killTime.Add(-beforeKill)))
		return
	}
}

// noteTermination counts a request that has just been sent to a dispatcher that is being terminated.
func (c *Client) noteTermination(d *Dispatcher) {
	terminated, killTime := d.termination()
	c.terminatedAtSend = terminated
	if terminated == 0 || c.incarnation != d.Incarnation() {
		return
	}
	c.fleet.noteSentAfterTerm(time.Until(killTime) < lastMoment)
}
