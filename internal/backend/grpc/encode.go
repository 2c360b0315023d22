package grpc

import (
	"strconv"

	"golang.org/x/net/http2/hpack"
	"google.golang.org/protobuf/encoding/protowire"

	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/policy"
)

// Field numbers of docksail.v1.Launch. Those that identify the attempt are the same in docksail.v1.ReleaseRequest.
const (
	fieldIncarnation      protowire.Number = 1
	fieldRequest          protowire.Number = 2
	fieldAttempt          protowire.Number = 3
	fieldMessage          protowire.Number = 4
	fieldStateHolder      protowire.Number = 5
	fieldTimeLeft         protowire.Number = 6
	fieldPreviousAttempts protowire.Number = 7
)

// attemptHeader returns the header fields that identify an attempt in fields[:n].
func attemptHeader(requestName string, number policy.AttemptNumber, traceParent string,
) (fields [3]hpack.HeaderField, n int) {
	fields[0] = hpack.HeaderField{Name: "docksail-job", Value: requestName, Sensitive: true}
	fields[1] = hpack.HeaderField{Name: "docksail-shot", Value: strconv.Itoa(int(number))}
	if traceParent == "" {
		return fields, 2
	}
	fields[2] = hpack.HeaderField{Name: "traceparent", Value: traceParent, Sensitive: true}
	return fields, 3
}

// appendAttempt appends the encoded docksail.v1.Launch of an attempt.
func (b *Backend) appendAttempt(p []byte, now eventloop.Nanos, req *dispatch.Request, number policy.AttemptNumber,
) []byte {
	p = appendAttemptID(p, b.dispatcher.Incarnation(), req.ID, number)
	p = protowire.AppendTag(p, fieldMessage, protowire.BytesType)
	p = protowire.AppendBytes(p, req.Raw)
	if holder, held := req.StateHolder(); held && !req.IsPrefill {
		if s := b.servers[holder]; s != nil {
			p = protowire.AppendTag(p, fieldStateHolder, protowire.BytesType)
			p = protowire.AppendString(p, s.name)
		}
	}
	p = appendVarint(p, fieldTimeLeft, uint64(req.AttemptTimeLeft(now)))
	if req.PreviousAttempts > 0 {
		p = appendVarint(p, fieldPreviousAttempts, uint64(req.PreviousAttempts))
	}
	return p
}

// appendAttemptID appends the fields that identify an attempt. A docksail.v1.ReleaseRequest consists of these only.
func appendAttemptID(p []byte, incarnation uint64, id policy.RequestID, number policy.AttemptNumber) []byte {
	p = appendVarint(p, fieldIncarnation, incarnation)
	p = appendVarint(p, fieldRequest, uint64(id))
	return appendVarint(p, fieldAttempt, uint64(number))
}

func appendVarint(p []byte, field protowire.Number, v uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(p, field, protowire.VarintType), v)
}
