package grpc

import (
	"encoding/base64"
	"flag"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/reflection/grpc_reflection_v1"
)

var update = flag.Bool("update", false, "rewrite the golden files of this package")

const (
	generatePath   = "/docksail.v1.Generation/Generate"
	healthPath     = "/grpc.health.v1.Health/Check"
	watchPath      = "/grpc.health.v1.Health/Watch"
	reflectionPath = "/grpc.reflection.v1.ServerReflection/ServerReflectionInfo"
)

// TestResponses compares the responses to calls and the requests that the dispatcher receives with the golden file.
func TestResponses(t *testing.T) {
	generate := func(fieldsAndValues ...any) [][]byte { return [][]byte{encode(fieldsAndValues...)} }
	health := func(service string) [][]byte {
		return [][]byte{marshal(t, &grpc_health_v1.HealthCheckRequest{Service: service})}
	}
	reflection := func(r *grpc_reflection_v1.ServerReflectionRequest) [][]byte { return [][]byte{marshal(t, r)} }
	allFields := generate(1, "chat", 2, "payer", 3, "served", 4, "prefix", 5, 100, 6, 40, 7, 20, 8, "key",
		9, 5_000_000_000, 10, 7, 11, "prompt", 12, "client", 13, "unknown")
	unknownSymbol := &grpc_reflection_v1.ServerReflectionRequest{
		MessageRequest: &grpc_reflection_v1.ServerReflectionRequest_FileContainingSymbol{FileContainingSymbol: ".x"},
	}
	ticket := base64.RawStdEncoding.EncodeToString([]byte("ticket"))
	cases := []struct {
		name     string
		path     string
		messages [][]byte
		fields   []string
	}{
		{"served", generatePath, generate(1, "chat"), nil},
		{"served with all fields", generatePath, allFields, []string{
			"grpc-timeout: 10S", "grpc-previous-rpc-attempts: 2", "docksail-ticket-bin: " + ticket + "=",
			"docksail-background: 1", "traceparent: 00-ab-cd-01", "grpc-encoding: identity",
		}},
		{"rejected", generatePath, generate(3, "rejected"), nil},
		{"over the tenant's limit", generatePath, generate(3, "limited"), nil},
		{"rejected later", generatePath, generate(3, "late-rejected"), nil},
		{"invalid", generatePath, generate(1, "chat", 3, "invalid"), nil},
		{"failed", generatePath, generate(3, "failed"), nil},
		{"failed after its beginning", generatePath, generate(3, "failed-after-begin"), nil},
		{"second message", generatePath, append(generate(3, "held"), encode(1, "chat")), nil},
		{"no message", generatePath, nil, nil},
		{"timeout malformed", generatePath, generate(1, "chat"), []string{"grpc-timeout: soon"}},
		{"timeout zero", generatePath, generate(1, "chat"), []string{"grpc-timeout: 0S"}},
		{"encoding", generatePath, generate(1, "chat"), []string{"grpc-encoding: gzip"}},
		{"previous attempts", generatePath, generate(1, "chat"), []string{"grpc-previous-rpc-attempts: x"}},
		{"ticket malformed", generatePath, generate(1, "chat"), []string{"docksail-ticket-bin: %%"}},
		{"unknown method", "/docksail.v1.Generation/Other", generate(1, "chat"), nil},
		{"tag malformed", generatePath, [][]byte{{0xff}}, nil},
		{"string malformed", generatePath, [][]byte{{1<<3 | 2, 9, 'a'}}, nil},
		{"string not utf-8", generatePath, generate(1, "\xff"), nil},
		{"number malformed", generatePath, [][]byte{{5 << 3, 0xff}}, nil},
		{"number too large", generatePath, generate(5, 1<<32), nil},
		{"hint too large", generatePath, generate(10, 1<<62+1), nil},
		{"wire type", generatePath, generate(1, 5), nil},
		{"unknown field malformed", generatePath, [][]byte{{14<<3 | 2, 9}}, nil},
		{"prefix longer than the prompt", generatePath, generate(5, 3, 6, 4), nil},
		{"health", healthPath, health(""), nil},
		{"health of the service", healthPath, health("docksail.v1.Generation"), nil},
		{"health of another", healthPath, health("other"), nil},
		{"health malformed", healthPath, [][]byte{{0xff}}, nil},
		{"reflection list", reflectionPath, reflection(&grpc_reflection_v1.ServerReflectionRequest{
			Host: "h", MessageRequest: &grpc_reflection_v1.ServerReflectionRequest_ListServices{},
		}), nil},
		{"reflection unknown file", reflectionPath, reflection(&grpc_reflection_v1.ServerReflectionRequest{
			MessageRequest: &grpc_reflection_v1.ServerReflectionRequest_FileByFilename{FileByFilename: "x.proto"},
		}), nil},
		{"reflection unknown symbol", reflectionPath, reflection(unknownSymbol), nil},
		{"reflection other question", reflectionPath, reflection(&grpc_reflection_v1.ServerReflectionRequest{
			MessageRequest: &grpc_reflection_v1.ServerReflectionRequest_AllExtensionNumbersOfType{},
		}), nil},
		{"reflection malformed", reflectionPath, [][]byte{{0xff}}, nil},
	}
	var out strings.Builder
	for _, c := range cases {
		s := startServer(t)
		fmt.Fprintf(&out, "=== %s\n%s\n", c.name, s.call(t, c.path, c.messages, c.fields...))
		s.runOnLoop(func() {
			counts := s.server.Counts()
			fmt.Fprintf(&out, "%s\ndisconnects %d calls %d invalid %d overflows %d partial %d connections %d\n",
				strings.Join(s.dispatcher.requests, "\n"), s.dispatcher.disconnects, counts.Calls, counts.InvalidCalls,
				counts.OutputOverflows, counts.PartialMessagesRefused, s.server.ConnCount())
		})
	}
	compareGolden(t, "testdata/responses.golden", out.String())
}

// TestReflectionFiles checks that reflection returns the descriptor file of the service.
func TestReflectionFiles(t *testing.T) {
	s := startServer(t)
	request := &grpc_reflection_v1.ServerReflectionRequest{
		MessageRequest: &grpc_reflection_v1.ServerReflectionRequest_FileContainingSymbol{
			FileContainingSymbol: "docksail.v1.Generation",
		},
	}
	got := s.call(t, reflectionPath, [][]byte{marshal(t, request)})
	if !strings.Contains(got, "GenerateRequest") || !strings.Contains(got, `Grpc-Status=["0"]`) {
		t.Errorf("got %s", got)
	}
}

// TestDrain checks that a graceful shutdown ends a health watch and refuses new connections.
func TestDrain(t *testing.T) {
	s := startServer(t)
	watch := make(chan string, 1)
	go func() {
		watch <- s.call(t, watchPath, [][]byte{marshal(t, &grpc_health_v1.HealthCheckRequest{})})
	}()
	for openStreams := 0; openStreams == 0; time.Sleep(time.Millisecond) {
		s.runOnLoop(func() {
			for c := range s.server.conns {
				openStreams += c.http2.OpenStreamCount()
			}
		})
	}
	time.Sleep(20 * time.Millisecond) // until the watch has sent its first message
	s.runOnLoop(func() { s.server.Drain() })
	var out strings.Builder
	fmt.Fprintln(&out, <-watch)
	_, err := net.Dial("tcp", s.addr.String())
	idle := false
	for deadline := time.Now().Add(5 * time.Second); !idle && time.Now().Before(deadline); {
		s.runOnLoop(func() { idle = s.server.IsIdle() })
	}
	fmt.Fprintf(&out, "refused=%v idle=%v\n", err != nil, idle)
	compareGolden(t, "testdata/drain.golden", out.String())
}

// compareGolden compares got with a golden file, or writes the file if -update is set.
func compareGolden(t *testing.T, file, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] != wantLines[i] {
			t.Fatalf("%s: line %d:\n got %s\nwant %s", file, i+1, gotLines[i], wantLines[i])
		}
	}
	if len(gotLines) != len(wantLines) {
		t.Errorf("%s: %d lines, want %d", file, len(gotLines), len(wantLines))
	}
}
