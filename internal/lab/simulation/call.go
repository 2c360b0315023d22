package simulation

import (
	"encoding/base64"
	"errors"
	"strconv"
	"time"

	orca "github.com/cncf/xds/go/xds/data/orca/v3"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"

	pb "docksail/api/docksail/v1"
	"docksail/internal/eventloop"
	"docksail/internal/h2"
	"docksail/internal/lab/engine"
	"docksail/internal/lab/engine/batchmodel"
	"docksail/internal/lab/eventlog"
)

const (
	pathPrefill = "/docksail.v1.Engine/Read"
	pathDecode  = "/docksail.v1.Engine/Write"
	pathRelease = "/docksail.v1.Engine/Release"

	trailerLoadReport = "endpoint-load-metrics-bin"
)

// call is a gRPC call of a dispatcher to a model server.
type call struct {
	conn         *grpcConn
	stream       *h2.Stream // nil once the call has ended
	path         string
	attempt      pb.Launch
	requestID    string
	arrivedAt    eventloop.Nanos // when its message was received; 0 = not yet
	id           batchmodel.ID   // 0 = not enqueued
	transfer     batchmodel.TransferID
	unsentTokens []int // positions of tokens that a fault holds back
	hasStarted   bool  // whether its first token was sent
	isComplete   bool  // whether the model has computed the whole answer
}

// requestID returns the identifier of a dispatcher's request in event logs.
func requestID(dispatcher, request uint64) string {
	return strconv.FormatUint(dispatcher, 16) + "." + strconv.FormatUint(request, 16)
}

func (m *modelServer) opened(*grpcConn) {}
func (m *modelServer) closed(*grpcConn) {}

func (m *modelServer) headers(c *grpcConn, s *h2.Stream, header *h2.Header) {
	s.UserData = &call{conn: c, stream: s, path: header.Get(":path")}
}

func (m *modelServer) message(_ *grpcConn, s *h2.Stream, p []byte) {
	c, ok := s.UserData.(*call)
	if !ok || c.arrivedAt > 0 {
		return
	}
	c.arrivedAt = max(m.loop.Now(), 1)
	if c.path == pathRelease {
		m.handleRelease(c, p)
		return
	}
	if err := proto.Unmarshal(p, &c.attempt); err != nil || c.attempt.Request == nil {
		m.endCall(c, codes.InvalidArgument, "no launch")
		return
	}
	c.requestID = requestID(c.attempt.Dispatcher, c.attempt.Job)
	isPrefill, role := c.path == pathPrefill, m.spec.Role
	switch {
	case isPrefill && role == pb.Role_ROLE_WRITER, !isPrefill && role == pb.Role_ROLE_READER:
		m.endCall(c, codes.Unimplemented, "not what this host does")
		return
	case !isPrefill && c.attempt.StateAddress == "" && role != pb.Role_ROLE_MIXED:
		m.endCall(c, codes.FailedPrecondition, "no state is named, and a writer reads no prompts")
		return
	}
	if code, reason := m.admit(m.loop.Now()); code != codes.OK {
		m.endCall(c, code, reason)
		return
	}
	m.enqueue(c)
}

func (m *modelServer) finished(*h2.Stream, codes.Code, string, *h2.Header) {}

func (m *modelServer) reset(s *h2.Stream) {
	if c, ok := s.UserData.(*call); ok && c.stream != nil {
		m.removeCall(c)
		m.loop.Post(m.beginStep)
	}
}

// handleRelease releases the state of a request, cancels its prefills and answers the call.
func (m *modelServer) handleRelease(c *call, p []byte) {
	var release pb.ReleaseRequest
	if proto.Unmarshal(p, &release) == nil {
		request := requestID(release.Dispatcher, release.Job)
		if state := m.states[request]; state != nil && state.attempt <= release.Shot {
			m.releaseState(request, "released")
		}
		m.cancelPrefills(request, release.Shot)
	}
	c.stream.SendMessage(nil, false)
	m.endCall(c, codes.OK, "")
}

// enqueue enqueues a call in the model, or ends it if the model rejects it. It sets aside calls of a silenced class.
func (m *modelServer) enqueue(c *call) {
	req := c.attempt.Request
	if m.isSilenced(req.GetTrack()) {
		m.silencedCalls = append(m.silencedCalls, c)
		return
	}
	var work batchmodel.Work
	if c.path == pathPrefill {
		work = engine.BatchWork(req, 0, false)
	} else {
		work = engine.BatchWork(req, engine.AnswerTokens(req), c.attempt.StateAddress != "")
	}
	m.lastID++
	work.ID = m.lastID
	err := m.model.Enqueue(work)
	switch {
	case err == nil:
		c.id = work.ID
		m.calls[c.id] = c
		m.beginStep()
	case errors.Is(err, batchmodel.ErrQueueFull):
		m.endCall(c, codes.ResourceExhausted, err.Error())
	default:
		m.endCall(c, codes.InvalidArgument, err.Error())
	}
}

// flushTokens sends the tokens of a call that no fault holds back, and ends a complete call.
func (m *modelServer) flushTokens(c *call) {
	req := c.attempt.Request
	if m.isSilenced(req.GetTrack()) {
		return
	}
	for _, position := range c.unsentTokens {
		if m.faults.StallAfter > 0 && position >= m.faults.StallAfter {
			return
		}
		if !c.hasStarted {
			c.hasStarted = true
			m.sim.Log.Add(eventlog.Entry{
				Kind: eventlog.AnswerStarted, Server: m.spec.ID, Request: c.requestID, Attempt: int(c.attempt.Shot),
				RequestLabel: req.Label, ClientAttempt: int(c.attempt.Repeat), Class: req.Track,
			})
		}
		c.stream.SendMessage(mustMarshal(&pb.Tokens{
			Position: uint32(position), Tokens: []uint32{engine.TokenAt(req, position)}, Text: []byte("tok "),
		}), false)
		c.unsentTokens = c.unsentTokens[1:]
	}
	c.conn.flush()
	if c.isComplete {
		m.endCall(c, codes.OK, "")
	}
}

// endCall ends a call with a status and a load report.
func (m *modelServer) endCall(c *call, code codes.Code, reason string) {
	if c.stream == nil {
		return
	}
	trailer := m.loadReport()
	stream := c.stream
	m.removeCall(c)
	stream.EndWithStatus(code, reason, trailer...)
	c.conn.flush()
}

// loadReport returns the trailer with the server's load. It is empty until the first report is due.
func (m *modelServer) loadReport() []hpack.HeaderField {
	now := m.sim.network.Now()
	queuedTokens := float64(m.model.QueuedPromptTokens())
	memory := m.model.Memory
	m.reporter.Observe(now, batchmodel.Load{
		Requests:           float64(m.requestCount()),
		MemoryUtilization:  float64(memory.InUse()) / float64(memory.Blocks()),
		QueuedPromptTokens: queuedTokens,
		QueueTime:          int64(queuedTokens / m.spec.PrefillRate * float64(time.Second)),
	})
	load, age, ok := m.reporter.Latest(now)
	if !ok {
		return nil
	}
	text, err := proto.MarshalOptions{Deterministic: true}.Marshal(&orca.OrcaLoadReport{
		MemUtilization: load.MemoryUtilization,
		NamedMetrics: map[string]float64{
			"requests": load.Requests, "unread_tokens": load.QueuedPromptTokens,
			"finish_ms": float64(load.QueueTime) / 1e6, "age_ms": float64(age) / 1e6,
		},
	})
	if err != nil {
		panic(err) // the message has no invalid strings
	}
	return []hpack.HeaderField{{Name: trailerLoadReport, Value: base64.RawStdEncoding.EncodeToString(text)}}
}

// removeCall removes a call from the server and the model, except for the state of a prefill that the server holds.
func (m *modelServer) removeCall(c *call) {
	if c.stream != nil {
		c.stream.UserData, c.stream = nil, nil
	}
	if c.transfer != 0 {
		m.sim.transfers.stop(c.transfer)
		c.transfer = 0
	}
	if c.id == 0 || m.calls[c.id] != c {
		return
	}
	delete(m.calls, c.id)
	if state := m.states[c.requestID]; state == nil || state.id != c.id {
		m.model.Remove(c.id)
	}
}

// cancelPrefills ends the prefills of a request up to an attempt. The dispatcher has abandoned them, although their
// streams may still be open.
func (m *modelServer) cancelPrefills(request string, maxAttempt uint32) {
	isObsolete := func(c *call) bool {
		return c.path == pathPrefill && c.requestID == request && c.attempt.Shot <= maxAttempt
	}
	for _, id := range sortedKeys(m.calls) {
		if c := m.calls[id]; isObsolete(c) {
			m.endCall(c, codes.Canceled, "released")
		}
	}
	for _, c := range m.silencedCalls {
		if isObsolete(c) && c.stream != nil {
			m.endCall(c, codes.Canceled, "released")
		}
	}
}
