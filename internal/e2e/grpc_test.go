package e2e

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	reflectpb "google.golang.org/grpc/reflection/grpc_reflection_v1"
	"google.golang.org/grpc/status"

	pb "docksail/api/docksail/v1"
)

// TestInvalidRequests: a clear status, and other streams of the connection go on.
func TestInvalidRequests(t *testing.T) {
	deployment, client := startDeployment(t, nil)
	long := newRequest("beside")
	long.MaxTokens = 200
	beside := make(chan *status.Status, 1)
	go func() {
		_, s, _ := generate(context.Background(), client, long)
		beside <- s
	}()
	for _, c := range []struct {
		name string
		req  *pb.GenerateRequest
		want string
	}{
		{"unknown track", &pb.GenerateRequest{Track: "nonsense", PromptTokens: 5}, `class "nonsense" is unknown`},
		{"no track", &pb.GenerateRequest{PromptTokens: 5}, `class "" is unknown`},
		{"prompt too long", &pb.GenerateRequest{Track: "question", PromptTokens: 1 << 31}, "prompt too long"},
		{"beginning longer than the prompt", &pb.GenerateRequest{Track: "question", PromptTokens: 5, BeginningTokens: 6}, "beginning_tokens"},
	} {
		if _, s, _ := generate(context.Background(), client, c.req); s.Code() != codes.InvalidArgument || !strings.Contains(s.Message(), c.want) {
			t.Errorf("%s: %v, want INVALID_ARGUMENT with %q", c.name, s, c.want)
		}
	}
	conn, err := grpc.NewClient(deployment.Addresses()[0], grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(bytesCodec{})))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	call := func(method string, p []byte) *status.Status {
		var out []byte
		return status.Convert(conn.Invoke(context.Background(), method, p, &out))
	}
	if s := call("/docksail.v1.Generation/Generate", []byte{0xff, 0xff, 0xff}); s.Code() != codes.InvalidArgument || !strings.Contains(s.Message(), "malformed") {
		t.Errorf("malformed message: %v", s)
	}
	if s := call("/docksail.v1.Generation/Generate", bytes.Repeat([]byte{0}, 5<<20)); s.Code() != codes.ResourceExhausted {
		t.Errorf("message over the limit: %v", s)
	}
	if s := call("/docksail.v1.Generation/Nonsense", nil); s.Code() != codes.Unimplemented {
		t.Errorf("unknown method: %v", s)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Nanosecond)
	defer cancel()
	if _, s, _ := generate(ctx, client, newRequest("no time")); s.Code() != codes.DeadlineExceeded && s.Code() != codes.Unavailable {
		t.Errorf("no time: %v", s)
	}
	if s := <-beside; s.Code() != codes.OK {
		t.Errorf("the stream beside ended with %v", s)
	}
	waitUntilIdle(t, deployment, time.Second)
	checkInvariants(t, deployment)
}

type bytesCodec struct{}

func (bytesCodec) Marshal(v any) ([]byte, error)   { return v.([]byte), nil }
func (bytesCodec) Unmarshal(b []byte, v any) error { *v.(*[]byte) = b; return nil }
func (bytesCodec) Name() string                    { return "proto" }

// TestRejectionHasRetryAfter: with no engine that takes work, a nack with advice comes at once enough to be of use.
func TestRejectionHasRetryAfter(t *testing.T) {
	deployment, client := startDeployment(t, nil)
	setDraining(deployment, true, 1, 2)
	begin := time.Now()
	_, s, trailer := generate(context.Background(), client, newRequest("nacked"))
	if s.Code() != codes.Unavailable || len(s.Details()) != 1 || len(trailer.Get("grpc-retry-pushback-ms")) != 1 {
		t.Errorf("%v with details %v and trailer %v, want UNAVAILABLE with RetryInfo and pushback", s, s.Details(), trailer)
	}
	if took := time.Since(begin); took > 600*time.Millisecond {
		t.Errorf("took %v, want less than the expected time", took)
	}
	checkInvariants(t, deployment)
}

// TestReflection: a client finds the service and its messages.
func TestReflection(t *testing.T) {
	deployment, _ := startDeployment(t, nil)
	conn, err := grpc.NewClient(deployment.Addresses()[0], grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	stream, err := reflectpb.NewServerReflectionClient(conn).ServerReflectionInfo(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	askOne := func(r *reflectpb.ServerReflectionRequest) *reflectpb.ServerReflectionResponse {
		if err := stream.Send(r); err != nil {
			t.Fatal(err)
		}
		res, err := stream.Recv()
		if err != nil {
			t.Fatal(err)
		}
		return res
	}
	list := askOne(&reflectpb.ServerReflectionRequest{MessageRequest: &reflectpb.ServerReflectionRequest_ListServices{}})
	if n := len(list.GetListServicesResponse().GetService()); n != 3 {
		t.Errorf("%d services listed, want 3", n)
	}
	file := askOne(&reflectpb.ServerReflectionRequest{MessageRequest: &reflectpb.ServerReflectionRequest_FileContainingSymbol{
		FileContainingSymbol: "docksail.v1.Generation",
	}})
	if len(file.GetFileDescriptorResponse().GetFileDescriptorProto()) == 0 {
		t.Errorf("no file for the service: %v", file)
	}
	none := askOne(&reflectpb.ServerReflectionRequest{MessageRequest: &reflectpb.ServerReflectionRequest_FileContainingSymbol{
		FileContainingSymbol: "no.such",
	}})
	if none.GetErrorResponse() == nil {
		t.Error("no error for an unknown symbol")
	}
}
