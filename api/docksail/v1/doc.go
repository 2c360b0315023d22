// Package docksailv1 has the messages and services of docksail's gRPC API, generated from its .proto files.
package docksailv1
