package grpc

import (
	"strings"

	"google.golang.org/grpc/codes"
	reflectionpb "google.golang.org/grpc/reflection/grpc_reflection_v1"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	_ "docksail/api/docksail/v1" // registers the service that reflection describes
)

// reflectedServices are the services that reflection lists.
var reflectedServices = []string{generationService, "grpc.health.v1.Health", "grpc.reflection.v1.ServerReflection"}

// reflectionResponse returns the response to a request of server reflection.
func reflectionResponse(request *reflectionpb.ServerReflectionRequest) *reflectionpb.ServerReflectionResponse {
	response := &reflectionpb.ServerReflectionResponse{ValidHost: request.Host, OriginalRequest: request}
	switch q := request.MessageRequest.(type) {
	case *reflectionpb.ServerReflectionRequest_ListServices:
		setServices(response)
	case *reflectionpb.ServerReflectionRequest_FileByFilename:
		file, err := protoregistry.GlobalFiles.FindFileByPath(q.FileByFilename)
		if err != nil {
			setNotFound(response, q.FileByFilename)
			break
		}
		setFiles(response, file)
	case *reflectionpb.ServerReflectionRequest_FileContainingSymbol:
		name := protoreflect.FullName(strings.TrimPrefix(q.FileContainingSymbol, "."))
		descriptor, err := protoregistry.GlobalFiles.FindDescriptorByName(name)
		if err != nil {
			setNotFound(response, q.FileContainingSymbol)
			break
		}
		setFiles(response, descriptor.ParentFile())
	default:
		setNotFound(response, "this kind of question")
	}
	return response
}

// setServices makes a response the list of services.
func setServices(response *reflectionpb.ServerReflectionResponse) {
	list := &reflectionpb.ListServiceResponse{}
	for _, name := range reflectedServices {
		list.Service = append(list.Service, &reflectionpb.ServiceResponse{Name: name})
	}
	response.MessageResponse = &reflectionpb.ServerReflectionResponse_ListServicesResponse{ListServicesResponse: list}
}

// setNotFound makes a response the error that what was asked for is unknown.
func setNotFound(response *reflectionpb.ServerReflectionResponse, what string) {
	response.MessageResponse = &reflectionpb.ServerReflectionResponse_ErrorResponse{
		ErrorResponse: &reflectionpb.ErrorResponse{
			ErrorCode:    int32(codes.NotFound),
			ErrorMessage: what + " is not known",
		},
	}
}

// setFiles makes a response a file with all that it imports.
func setFiles(response *reflectionpb.ServerReflectionResponse, file protoreflect.FileDescriptor) {
	encoded := appendFiles(nil, file, map[string]bool{})
	response.MessageResponse = &reflectionpb.ServerReflectionResponse_FileDescriptorResponse{
		FileDescriptorResponse: &reflectionpb.FileDescriptorResponse{FileDescriptorProto: encoded},
	}
}

// appendFiles appends the encoded file and its imports, but those whose paths were seen.
func appendFiles(encoded [][]byte, file protoreflect.FileDescriptor, seen map[string]bool) [][]byte {
	if seen[file.Path()] {
		return encoded
	}
	seen[file.Path()] = true
	if b, err := proto.Marshal(protodesc.ToFileDescriptorProto(file)); err == nil {
		encoded = append(encoded, b)
	}
	for i := range file.Imports().Len() {
		encoded = appendFiles(encoded, file.Imports().Get(i).FileDescriptor, seen)
	}
	return encoded
}
