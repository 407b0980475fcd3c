// Package peerpb holds the protobuf messages that routers send each other. Its
// code is generated from peer.proto and committed, so that the build needs no
// generator; package peer/wire translates.
package peerpb
