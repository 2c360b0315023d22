package e2e

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	reflectpb "google.golang.org/grpc/reflection/grpc_reflection_v1"
	"google.golang.org/grpc/status"

	pb "docksail/api/docksail/v1"
)

const generateMethod = "/docksail.v1.Generation/Generate"

// TestInvalidRequests checks that invalid requests get a clear status and that other streams of the connection go on.
func TestInvalidRequests(t *testing.T) {
	deployment, client := startDeployment(t, nil)
	long := newRequest("beside")
	long.MaxTokens = 200
	beside := make(chan answer, 1)
	go func() { beside <- generate(context.Background(), client, long) }()
	for _, test := range []struct {
		name    string
		request *pb.GenerateRequest
		want    string
	}{
		{"unknown class", &pb.GenerateRequest{Track: "nonsense", PromptTokens: 5}, `class "nonsense" is unknown`},
		{"no class", &pb.GenerateRequest{PromptTokens: 5}, `class "" is unknown`},
		{"prompt too long", &pb.GenerateRequest{Track: "question", PromptTokens: 1 << 31}, "prompt too long"},
		{
			"prefix longer than the prompt",
			&pb.GenerateRequest{Track: "question", PromptTokens: 5, BeginningTokens: 6}, "beginning_tokens",
		},
	} {
		got := generate(context.Background(), client, test.request)
		if got.status.Code() != codes.InvalidArgument || !strings.Contains(got.status.Message(), test.want) {
			t.Errorf("%s: %v, want INVALID_ARGUMENT with %q", test.name, got.status, test.want)
		}
	}
	testInvalidCalls(t, deployment.Addresses()[0])
	ctx, cancel := context.WithTimeout(context.Background(), time.Nanosecond)
	defer cancel()
	got := generate(ctx, client, newRequest("no time"))
	if code := got.status.Code(); code != codes.DeadlineExceeded && code != codes.Unavailable {
		t.Errorf("no time: %v", got.status)
	}
	if got := <-beside; got.status.Code() != codes.OK {
		t.Errorf("the stream beside ended with %v", got.status)
	}
	waitUntilIdle(t, deployment, time.Second)
	checkInvariants(t, deployment)
}

// testInvalidCalls sends messages that cannot be decoded, are too large, or call an unknown method.
func testInvalidCalls(t *testing.T, address string) {
	t.Helper()
	conn := dialConn(t, address, grpc.WithDefaultCallOptions(grpc.ForceCodec(bytesCodec{})))
	defer conn.Close()
	call := func(method string, message []byte) *status.Status {
		var reply []byte
		return status.Convert(conn.Invoke(context.Background(), method, message, &reply))
	}
	got := call(generateMethod, []byte{0xff, 0xff, 0xff})
	if got.Code() != codes.InvalidArgument || !strings.Contains(got.Message(), "malformed") {
		t.Errorf("malformed message: %v", got)
	}
	if got := call(generateMethod, bytes.Repeat([]byte{0}, 5<<20)); got.Code() != codes.ResourceExhausted {
		t.Errorf("message over the limit: %v", got)
	}
	if got := call("/docksail.v1.Generation/Nonsense", nil); got.Code() != codes.Unimplemented {
		t.Errorf("unknown method: %v", got)
	}
}

// bytesCodec sends and receives messages as they are.
type bytesCodec struct{}

func (bytesCodec) Marshal(v any) ([]byte, error)   { return v.([]byte), nil }
func (bytesCodec) Unmarshal(b []byte, v any) error { *v.(*[]byte) = b; return nil }
func (bytesCodec) Name() string                    { return "proto" }

// TestRejectionHasRetryAfter checks that a rejection, as no engine accepts work, says when to retry and comes early
// enough to be of use.
func TestRejectionHasRetryAfter(t *testing.T) {
	deployment, client := startDeployment(t, nil)
	setDraining(deployment, true, 1, 2)
	start := time.Now()
	got := generate(context.Background(), client, newRequest("rejected"))
	details := got.status.Details()
	if got.status.Code() != codes.Unavailable || len(details) != 1 || len(got.trailer.Get(pushbackKey)) != 1 {
		t.Errorf("%v with details %v and trailer %v, want UNAVAILABLE with RetryInfo and pushback",
			got.status, details, got.trailer)
	}
	if elapsed := time.Since(start); elapsed > 600*time.Millisecond {
		t.Errorf("took %v, want less than the latency target", elapsed)
	}
	checkInvariants(t, deployment)
}

// TestReflection checks that a client finds the service and its messages.
func TestReflection(t *testing.T) {
	deployment, _ := startDeployment(t, nil)
	conn := dialConn(t, deployment.Addresses()[0])
	stream, err := reflectpb.NewServerReflectionClient(conn).ServerReflectionInfo(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	call := func(request *reflectpb.ServerReflectionRequest) *reflectpb.ServerReflectionResponse {
		t.Helper()
		if err := stream.Send(request); err != nil {
			t.Fatal(err)
		}
		response, err := stream.Recv()
		if err != nil {
			t.Fatal(err)
		}
		return response
	}
	list := call(&reflectpb.ServerReflectionRequest{
		MessageRequest: &reflectpb.ServerReflectionRequest_ListServices{},
	})
	if n := len(list.GetListServicesResponse().GetService()); n != 3 {
		t.Errorf("%d services listed, want 3", n)
	}
	file := call(fileOfSymbol("docksail.v1.Generation"))
	if len(file.GetFileDescriptorResponse().GetFileDescriptorProto()) == 0 {
		t.Errorf("no file for the service: %v", file)
	}
	if unknown := call(fileOfSymbol("no.such")); unknown.GetErrorResponse() == nil {
		t.Error("no error for an unknown symbol")
	}
}

func fileOfSymbol(symbol string) *reflectpb.ServerReflectionRequest {
	return &reflectpb.ServerReflectionRequest{
		MessageRequest: &reflectpb.ServerReflectionRequest_FileContainingSymbol{FileContainingSymbol: symbol},
	}
}
