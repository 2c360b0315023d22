package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"

	decide "docksail/internal/decide/discovery"
	"docksail/internal/decide/memory"
	"docksail/internal/eventloop"
	"docksail/internal/h1"
)

// watch is a call to discovery whose response is a stream of endpoint lists. It implements eventloop.Handler.
type watch struct {
	discovery *discovery
	addr      netip.AddrPort
	socket    *eventloop.Conn
	decoder   h1.Decoder
	input     h1.InputBuffer
	objects   objectSplitter
	memory    memory.Account // of input and objects
	timer     eventloop.Timer
	ended     bool
	timedOut  bool // it was closed because no data came in time
	rejected  bool // the status of the response is not 200
}

// errResponseEnded is returned if discovery ends the response to a watch, which should have no end.
var errResponseEnded = errors.New("response ended")

// statusError is the error of a response whose status is not 200.
type statusError int

// Error implements error.
func (e statusError) Error() string { return fmt.Sprintf("response with status %d, want 200", int(e)) }

// end closes a watch that is no longer needed.
func (w *watch) end() {
	w.ended = true
	w.discovery.backend.loop.CancelTimer(&w.timer)
	w.socket.Close()
}

// Opened implements eventloop.Handler: it sends the request.
func (w *watch) Opened(now eventloop.Nanos) {
	b := []byte("GET /registry/instances?watch=1")
	if version := w.discovery.version; version >= 0 {
		b = append(b, "&from="...)
		b = strconv.AppendInt(b, version, 10)
	}
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, w.addr.String()...)
	b = append(b, "\r\n\r\n"...)
	w.socket.Write(b)
	w.resetTimeout(now, w.responseTimeout())
}

// responseTimeout returns the time within which the response must begin and, after that, its first list must arrive.
func (w *watch) responseTimeout() eventloop.Nanos {
	return decide.ResponseTimeout(w.discovery.listOnRequest, w.discovery.rejectedCalls)
}

// resetTimeout restarts the timeout within which the head of the response or, after it, a complete list or white space
// between two lists must arrive. Bytes of an incomplete list do not restart it.
func (w *watch) resetTimeout(now, timeout eventloop.Nanos) {
	w.discovery.backend.loop.SetTimer(&w.timer, now+timeout, func(eventloop.Nanos) {
		w.timedOut = true
		w.socket.Close()
	})
}

// Received implements eventloop.Handler.
func (w *watch) Received(now eventloop.Nanos, p []byte) {
	w.input.Process(p, func(p []byte) int { return w.decode(now, p) })
	if !w.ended {
		w.memory.Set(int64(w.input.Cap() + cap(w.objects.partial)))
	}
}

// decode decodes bytes of the response and returns how many it has consumed.
func (w *watch) decode(now eventloop.Nanos, p []byte) (n int) {
	for !w.ended {
		event, data, size, err := w.decoder.Next(p[n:])
		n += size
		if err == nil && event == h1.NeedData {
			return n
		}
		if err == nil {
			err = w.handleEvent(now, event, data)
		}
		if err != nil {
			w.discovery.backend.log.Warn("discovery watch failed", "address", w.addr, "error", err)
			w.socket.Close()
			return len(p)
		}
	}
	return len(p)
}

// handleEvent handles a part of the response. An error ends the watch.
func (w *watch) handleEvent(now eventloop.Nanos, event h1.Event, data []byte) error {
	switch event {
	case h1.MessageHead:
		if status := w.decoder.Head.StatusCode; status != http.StatusOK {
			w.rejected = true
			return statusError(status)
		}
		w.resetTimeout(now, w.responseTimeout())
		return nil
	case h1.BodyData:
		return w.handleBody(now, data)
	default:
		return errResponseEnded
	}
}

// handleBody handles a piece of the stream of lists.
func (w *watch) handleBody(now eventloop.Nanos, data []byte) error {
	if err := w.objects.feed(data, func(text []byte) error { return w.handleObject(now, text) }); err != nil {
		return err
	}
	if !w.ended && w.objects.atBoundary() {
		w.discovery.makeCurrent(w)
		w.resetTimeout(now, decide.SilenceTimeout)
	}
	return nil
}

// handleObject handles one list of the stream.
func (w *watch) handleObject(now eventloop.Nanos, text []byte) error {
	var list EndpointList
	if err := json.Unmarshal(text, &list); err != nil {
		return fmt.Errorf("endpoint list %.60q: %w", text, err)
	}
	w.discovery.makeCurrent(w)
	w.discovery.applyList(now, w, list)
	return nil
}

// PeerHalfClosed implements eventloop.Handler.
func (w *watch) PeerHalfClosed(eventloop.Nanos) { w.socket.Close() }

// OutputFlushed implements eventloop.Handler.
func (w *watch) OutputFlushed(eventloop.Nanos) {}

// Closed implements eventloop.Handler.
func (w *watch) Closed(now eventloop.Nanos, err error) {
	d := w.discovery
	d.backend.loop.CancelTimer(&w.timer)
	w.memory.Set(0)
	if w.ended {
		return
	}
	w.ended = true
	d.backend.log.Warn("discovery lost", "address", w.addr, "timed_out", w.timedOut, "established", d.current == w,
		"error", err)
	d.handleLost(now, w)
}
