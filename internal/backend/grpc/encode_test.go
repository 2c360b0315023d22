package grpc

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "docksail/api/docksail/v1"
	"docksail/internal/decide/inflight"
	"docksail/internal/dispatch"
	"docksail/policy"
)

// TestAppendAttempt checks that package protobuf decodes an encoded attempt to the expected message.
func TestAppendAttempt(t *testing.T) {
	message := &pb.GenerateRequest{Track: "chat", PromptTokens: 100, MaxTokens: 7}
	raw, err := proto.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	const holder = policy.ServerID(3)
	b := &Backend{
		dispatcher: &dispatch.Dispatcher{},
		servers:    map[policy.ServerID]*server{holder: {id: holder, name: "10.0.0.1:5000"}},
	}
	for _, c := range []struct {
		name      string
		stateHeld bool
		previous  uint32
		want      *pb.Launch
	}{
		{name: "without state", want: &pb.Launch{}},
		{name: "with state", stateHeld: true, want: &pb.Launch{StateAddress: "10.0.0.1:5000"}},
		{name: "repeated", previous: 2, want: &pb.Launch{Repeat: 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			req := &dispatch.Request{
				RequestState: inflight.RequestState{ID: 1 << 32},
				Message:      dispatch.Message{Raw: raw, PreviousAttempts: c.previous},
				AttemptInfo:  dispatch.AttemptInfo{StartedAt: 50, AttemptTimeout: 1000},
			}
			if c.stateHeld {
				number, err := req.BeginAttempt(inflight.PrefillAttempt)
				if err != nil {
					t.Fatal(err)
				}
				result := inflight.AttemptResult{
					Outcome: policy.Prefilled, Server: holder, State: inflight.Acknowledged, MayHaveBeenReceived: true,
				}
				if _, err := req.EndAttempt(60, number, result); err != nil {
					t.Fatal(err)
				}
			}
			c.want.Job, c.want.Shot, c.want.Request, c.want.BeginWithinNs = 1<<32, 5, message, 950
			var got pb.Launch
			encoded := b.appendAttempt(nil, 100, req, 5)
			if err := proto.Unmarshal(encoded, &got); err != nil {
				t.Fatal(err)
			}
			if !proto.Equal(&got, c.want) {
				t.Errorf("attempt is %v, want %v", &got, c.want)
			}
		})
	}
}

// TestAppendAttemptID checks that a release is encoded as package protobuf encodes it.
func TestAppendAttemptID(t *testing.T) {
	want, err := proto.Marshal(&pb.ReleaseRequest{Dispatcher: 7, Job: 1 << 32, Shot: 5})
	if err != nil {
		t.Fatal(err)
	}
	if got := appendAttemptID(nil, 7, 1<<32, 5); !bytes.Equal(got, want) {
		t.Errorf("release is % x, want % x", got, want)
	}
}
