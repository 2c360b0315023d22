package simulatorwire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"docksail/policy"
)

// Names of the messages to the simulator.
const (
	messageAttempt       = "ATTEMPT"
	messageCancelAttempt = "RECALL"
	messageReject        = "BUSY"
	messageFail          = "ABORT"
	messageReleaseState  = "CLEAR_STATE"
	messageSetTimer      = "NOTIFY_ME"
	messageWatchServers  = "OBSERVE"
	messageLog           = "EMIT"
	messageFailure       = "INTERNAL_ERROR"
	messageEndOfReply    = "EOR"
)

const (
	timerLabel   = 0 // label of an instance's only timer
	watchEnabled = 1 // state of the watch of the endpoint list
)

// decisionWriter encodes decisions as messages. Flush returns the first error of any write.
type decisionWriter struct {
	*bufio.Writer
	line []byte
}

func newDecisionWriter(w io.Writer) *decisionWriter {
	return &decisionWriter{Writer: bufio.NewWriterSize(w, initialBufferBytes)}
}

// writeDecision writes a decision of the instance with an ID.
func (w *decisionWriter) writeDecision(id int64, decision *policy.Decision) {
	request, duration := int64(decision.Request), int64(decision.Duration)
	switch decision.Action {
	case policy.SendAttempt:
		w.write(messageAttempt, id, request, int64(decision.Server), duration)
	case policy.CancelAttempt:
		w.write(messageCancelAttempt, id, request, int64(decision.Attempt))
	case policy.RejectRequest:
		w.write(messageReject, id, request, duration)
	case policy.FailRequest:
		w.write(messageFail, id, request)
	case policy.ReleaseState:
		w.write(messageReleaseState, id, request)
	case policy.SetTimer:
		w.write(messageSetTimer, id, duration, timerLabel)
	case policy.WatchEndpoints:
		w.write(messageWatchServers, id, watchEnabled)
	case policy.LogEjection:
		w.writeText(messageLog, id, decision.Ejection.String())
	default:
		panic(fmt.Sprintf("decision with unknown action %d", decision.Action))
	}
}

// writeFailure writes the failure of an instance as one line.
func (w *decisionWriter) writeFailure(id int64, failure string) {
	w.writeText(messageFailure, id, strings.ReplaceAll(failure, "\n", " "))
}

// write writes a message with integer fields.
func (w *decisionWriter) write(name string, values ...int64) {
	w.line = append(w.line[:0], name...)
	for _, value := range values {
		w.line = append(w.line, ' ')
		w.line = strconv.AppendInt(w.line, value, 10)
	}
	w.endLine()
}

// writeText writes a message whose last field is a text, which may contain spaces.
func (w *decisionWriter) writeText(name string, id int64, text string) {
	w.line = append(w.line[:0], name...)
	w.line = append(w.line, ' ')
	w.line = strconv.AppendInt(w.line, id, 10)
	w.line = append(w.line, ' ')
	w.line = append(w.line, text...)
	w.endLine()
}

func (w *decisionWriter) endLine() {
	w.line = append(w.line, '\n')
	_, _ = w.Write(w.line) // Flush returns the error
}
