package grpc

import (
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/reflection/grpc_reflection_v1"
	"google.golang.org/protobuf/proto"

	"docksail/internal/h2"
)

const (
	pathHealthCheck     = "/grpc.health.v1.Health/Check"
	pathHealthWatch     = "/grpc.health.v1.Health/Watch"
	pathReflection      = "/grpc.reflection.v1.ServerReflection/ServerReflectionInfo"
	pathReflectionAlpha = "/grpc.reflection.v1alpha.ServerReflection/ServerReflectionInfo"
)

const generationService = "docksail.v1.Generation"

// serviceCall is a call of the health or reflection service. It is the UserData of its stream.
type serviceCall struct{ path string }

// openServiceCall begins a call of the health or reflection service, or ends a call of an unknown method with an
// error.
func (c *conn) openServiceCall(stream *h2.Stream, path string) {
	switch path {
	case pathHealthCheck, pathHealthWatch, pathReflection, pathReflectionAlpha:
		stream.UserData = &serviceCall{path}
	default:
		c.endWithError(stream, &callError{codes.Unimplemented, "unknown method " + path})
	}
}

// handleServiceMessage answers a message of a call of the health or reflection service.
func (c *conn) handleServiceMessage(stream *h2.Stream, call *serviceCall, message []byte) {
	switch call.path {
	case pathReflection, pathReflectionAlpha:
		var request grpc_reflection_v1.ServerReflectionRequest
		if err := proto.Unmarshal(message, &request); err != nil {
			c.endWithError(stream, invalidCall(err.Error()))
			return
		}
		sendMessage(stream, reflectionResponse(&request))
	default:
		var request grpc_health_v1.HealthCheckRequest
		if err := proto.Unmarshal(message, &request); err != nil {
			c.endWithError(stream, invalidCall(err.Error()))
			return
		}
		c.sendHealth(stream, call, request.Service)
	}
}

// sendHealth sends the health of a service, or of the whole server if service is empty. This ends a check, while a
// watch stays open.
func (c *conn) sendHealth(stream *h2.Stream, call *serviceCall, service string) {
	isCheck := call.path == pathHealthCheck
	health := grpc_health_v1.HealthCheckResponse_SERVING
	if c.server.draining {
		health = grpc_health_v1.HealthCheckResponse_NOT_SERVING
	}
	if service != "" && service != generationService {
		if isCheck {
			c.endWithError(stream, &callError{codes.NotFound, "unknown service " + service})
			return
		}
		health = grpc_health_v1.HealthCheckResponse_SERVICE_UNKNOWN
	}
	sendMessage(stream, &grpc_health_v1.HealthCheckResponse{Status: health})
	if isCheck {
		stream.EndWithStatus(codes.OK, "")
	}
}

// sendMessage sends a message, or ends the call with an error if the message cannot be encoded.
func sendMessage(stream *h2.Stream, message proto.Message) {
	b, err := proto.Marshal(message)
	if err != nil {
		stream.EndWithStatus(codes.Internal, err.Error())
		return
	}
	stream.SendMessage(b, false)
}
