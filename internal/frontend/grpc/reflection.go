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

// reflectionResponse returns the response to a server reflection request.
func reflectionResponse(request *reflectionpb.ServerReflectionRequest) *reflectionpb.ServerReflectionResponse {
	response := &reflectionpb.ServerReflectionResponse{ValidHost: request.Host, OriginalRequest: request}
	switch query := request.MessageRequest.(type) {
	case *reflectionpb.ServerReflectionRequest_ListServices:
		setServices(response)
	case *reflectionpb.ServerReflectionRequest_FileByFilename:
		file, err := protoregistry.GlobalFiles.FindFileByPath(query.FileByFilename)
		if err != nil {
			setNotFound(response, query.FileByFilename)
			break
		}
		setFiles(response, file)
	case *reflectionpb.ServerReflectionRequest_FileContainingSymbol:
		name := protoreflect.FullName(strings.TrimPrefix(query.FileContainingSymbol, "."))
		descriptor, err := protoregistry.GlobalFiles.FindDescriptorByName(name)
		if err != nil {
			setNotFound(response, query.FileContainingSymbol)
			break
		}
		setFiles(response, descriptor.ParentFile())
	default:
		setNotFound(response, "this kind of question")
	}
	return response
}

// setServices sets the content of a response to the list of services.
func setServices(response *reflectionpb.ServerReflectionResponse) {
	list := &reflectionpb.ListServiceResponse{}
	for _, name := range reflectedServices {
		list.Service = append(list.Service, &reflectionpb.ServiceResponse{Name: name})
	}
	response.MessageResponse = &reflectionpb.ServerReflectionResponse_ListServicesResponse{ListServicesResponse: list}
}

// setNotFound sets the content of a response to the error that name was not found.
func setNotFound(response *reflectionpb.ServerReflectionResponse, name string) {
	response.MessageResponse = &reflectionpb.ServerReflectionResponse_ErrorResponse{
		ErrorResponse: &reflectionpb.ErrorResponse{
			ErrorCode:    int32(codes.NotFound),
			ErrorMessage: name + " is not known",
		},
	}
}

// setFiles sets the content of a response to a file and all files that it imports, directly or not.
func setFiles(response *reflectionpb.ServerReflectionResponse, file protoreflect.FileDescriptor) {
	encoded := appendFiles(nil, file, map[string]bool{})
	response.MessageResponse = &reflectionpb.ServerReflectionResponse_FileDescriptorResponse{
		FileDescriptorResponse: &reflectionpb.FileDescriptorResponse{FileDescriptorProto: encoded},
	}
}

// appendFiles appends the encoded file and the files that it imports, except those whose paths are in seen.
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
