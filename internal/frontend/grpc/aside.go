package grpc

import (
	"strings"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/reflection/grpc_reflection_v1"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	_ "docksail/api/docksail/v1" // what reflection tells of
	"docksail/internal/h2"
)

// aside is a call of the side services: health and reflection.
type aside struct {
	c    *conn
	path string
}

const (
	healthCheck = "/grpc.health.v1.Health/Check"
	healthWatch = "/grpc.health.v1.Health/Watch"
	reflectV1   = "/grpc.reflection.v1.ServerReflection/ServerReflectionInfo"
	reflectOld  = "/grpc.reflection.v1alpha.ServerReflection/ServerReflectionInfo"
)

var services = []string{"docksail.v1.Generation", "grpc.health.v1.Health", "grpc.reflection.v1.ServerReflection"}

func (c *conn) aside(s *h2.Stream, path string) {
	switch path {
	case healthCheck, healthWatch, reflectV1, reflectOld:
		s.UserData = &aside{c, path}
	default:
		s.EndWithStatus(codes.Unimplemented, "unknown method "+path)
	}
}

// RequestEnded ends what waits for nothing more.
func (c *conn) RequestEnded(s *h2.Stream) {
	switch tag := s.UserData.(type) {
	case *waiting:
		c.s.counts.InvalidCalls++
		s.EndWithStatus(codes.InvalidArgument, "no message: Generate takes one")
	case *aside:
		if tag.path != healthWatch {
			s.EndWithStatus(codes.OK, "")
		}
	}
}

func (a *aside) message(c *conn, s *h2.Stream, p []byte) {
	if a.path == reflectV1 || a.path == reflectOld {
		var req grpc_reflection_v1.ServerReflectionRequest
		if err := proto.Unmarshal(p, &req); err != nil {
			c.bad(s, err)
			return
		}
		send(s, reflect(&req))
		return
	}
	var req grpc_health_v1.HealthCheckRequest
	if err := proto.Unmarshal(p, &req); err != nil {
		c.bad(s, err)
		return
	}
	state := grpc_health_v1.HealthCheckResponse_SERVING
	if c.s.leaving {
		state = grpc_health_v1.HealthCheckResponse_NOT_SERVING
	}
	if req.Service != "" && req.Service != services[0] {
		if a.path == healthCheck {
			s.EndWithStatus(codes.NotFound, "unknown service "+req.Service)
			return
		}
		state = grpc_health_v1.HealthCheckResponse_SERVICE_UNKNOWN
	}
	send(s, &grpc_health_v1.HealthCheckResponse{Status: state})
	if a.path == healthCheck {
		s.EndWithStatus(codes.OK, "")
	}
}

func send(s *h2.Stream, m proto.Message) {
	b, err := proto.Marshal(m)
	if err != nil {
		s.EndWithStatus(codes.Internal, err.Error())
		return
	}
	s.SendMessage(b, false)
}

// reflect answers one question of server reflection.
func reflect(req *grpc_reflection_v1.ServerReflectionRequest) *grpc_reflection_v1.ServerReflectionResponse {
	res := &grpc_reflection_v1.ServerReflectionResponse{ValidHost: req.Host, OriginalRequest: req}
	fail := func(what string) {
		res.MessageResponse = &grpc_reflection_v1.ServerReflectionResponse_ErrorResponse{
			ErrorResponse: &grpc_reflection_v1.ErrorResponse{ErrorCode: int32(codes.NotFound), ErrorMessage: what + " is not known"},
		}
	}
	files := func(fd protoreflect.FileDescriptor) {
		var all [][]byte
		seen := map[string]bool{}
		var walk func(fd protoreflect.FileDescriptor)
		walk = func(fd protoreflect.FileDescriptor) {
			if seen[fd.Path()] {
				return
			}
			seen[fd.Path()] = true
			if b, err := proto.Marshal(protodesc.ToFileDescriptorProto(fd)); err == nil {
				all = append(all, b)
			}
			for i := range fd.Imports().Len() {
				walk(fd.Imports().Get(i).FileDescriptor)
			}
		}
		walk(fd)
		res.MessageResponse = &grpc_reflection_v1.ServerReflectionResponse_FileDescriptorResponse{
			FileDescriptorResponse: &grpc_reflection_v1.FileDescriptorResponse{FileDescriptorProto: all},
		}
	}
	switch q := req.MessageRequest.(type) {
	case *grpc_reflection_v1.ServerReflectionRequest_ListServices:
		list := &grpc_reflection_v1.ListServiceResponse{}
		for _, name := range services {
			list.Service = append(list.Service, &grpc_reflection_v1.ServiceResponse{Name: name})
		}
		res.MessageResponse = &grpc_reflection_v1.ServerReflectionResponse_ListServicesResponse{ListServicesResponse: list}
	case *grpc_reflection_v1.ServerReflectionRequest_FileByFilename:
		fd, err := protoregistry.GlobalFiles.FindFileByPath(q.FileByFilename)
		if err != nil {
			fail(q.FileByFilename)
			break
		}
		files(fd)
	case *grpc_reflection_v1.ServerReflectionRequest_FileContainingSymbol:
		d, err := protoregistry.GlobalFiles.FindDescriptorByName(protoreflect.FullName(strings.TrimPrefix(q.FileContainingSymbol, ".")))
		if err != nil {
			fail(q.FileContainingSymbol)
			break
		}
		files(d.ParentFile())
	default:
		fail("this kind of question")
	}
	return res
}
