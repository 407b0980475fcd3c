// Package linkpb holds the protobuf messages of links. Its code is generated from link.proto and
// committed. Package link encodes and decodes them without allocations.
package linkpb
