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

// TestInvalidRequests checks that invalid requests are rejected with a status that says why, and that other streams of
// the connection continue.
func TestInvalidRequests(t *testing.T) {
	deployment, client := startDeployment(t, nil)
	longRequest := newRequest("beside")
	longRequest.MaxTokens = 200
	concurrent := make(chan answer, 1)
	go func() { concurrent <- generate(context.Background(), client, longRequest) }()
	for _, test := range []struct {
		name    string
		request *pb.GenerateRequest
		want    string
	}{
		{"unknown class", &pb.GenerateRequest{Track: "nonsense", PromptTokens: 5}, `class "nonsense" is unknown`},
		{"empty class", &pb.GenerateRequest{PromptTokens: 5}, `class "" is unknown`},
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
	checkInvalidCalls(t, deployment.Addresses()[0])
	ctx, cancel := context.WithTimeout(context.Background(), time.Nanosecond)
	defer cancel()
	got := generate(ctx, client, newRequest("no time"))
	if code := got.status.Code(); code != codes.DeadlineExceeded && code != codes.Unavailable {
		t.Errorf("expired deadline: %v, want DEADLINE_EXCEEDED or UNAVAILABLE", got.status)
	}
	if got := <-concurrent; got.status.Code() != codes.OK {
		t.Errorf("the concurrent stream ended with %v, want OK", got.status)
	}
	waitUntilIdle(t, deployment, time.Second)
	checkInvariants(t, deployment)
}

// checkInvalidCalls checks the status of a malformed message, a message that is too large and an unknown method.
func checkInvalidCalls(t *testing.T, address string) {
	t.Helper()
	conn := dialConn(t, address, grpc.WithDefaultCallOptions(grpc.ForceCodec(bytesCodec{})))
	defer conn.Close()
	call := func(method string, message []byte) *status.Status {
		var reply []byte
		return status.Convert(conn.Invoke(context.Background(), method, message, &reply))
	}
	got := call(generateMethod, []byte{0xff, 0xff, 0xff})
	if got.Code() != codes.InvalidArgument || !strings.Contains(got.Message(), "malformed") {
		t.Errorf("malformed message: %v, want INVALID_ARGUMENT and \"malformed\"", got)
	}
	if got := call(generateMethod, bytes.Repeat([]byte{0}, 5<<20)); got.Code() != codes.ResourceExhausted {
		t.Errorf("message over the limit: %v, want RESOURCE_EXHAUSTED", got)
	}
	if got := call("/docksail.v1.Generation/Nonsense", nil); got.Code() != codes.Unimplemented {
		t.Errorf("unknown method: %v, want UNIMPLEMENTED", got)
	}
}

// bytesCodec passes messages unencoded, so that a test can send malformed ones.
type bytesCodec struct{}

func (bytesCodec) Marshal(v any) ([]byte, error)   { return v.([]byte), nil }
func (bytesCodec) Unmarshal(b []byte, v any) error { *v.(*[]byte) = b; return nil }
func (bytesCodec) Name() string                    { return "proto" }

// TestRejectionHasRetryAfter checks that a request that no engine accepts is rejected with a retry delay, before its
// latency target.
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

// TestReflection checks that server reflection lists the services and describes the files of their symbols.
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
	file := call(fileRequest("docksail.v1.Generation"))
	if len(file.GetFileDescriptorResponse().GetFileDescriptorProto()) == 0 {
		t.Errorf("no file descriptor for the service: %v", file)
	}
	if unknown := call(fileRequest("no.such")); unknown.GetErrorResponse() == nil {
		t.Error("no error for an unknown symbol")
	}
}

// fileRequest asks for the file that defines a symbol.
func fileRequest(symbol string) *reflectpb.ServerReflectionRequest {
	return &reflectpb.ServerReflectionRequest{
		MessageRequest: &reflectpb.ServerReflectionRequest_FileContainingSymbol{FileContainingSymbol: symbol},
	}
}
