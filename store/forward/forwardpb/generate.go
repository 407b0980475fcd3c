// Package forwardpb holds the generated encoding of forwarded commits.
package forwardpb

//go:generate sh -c "cd ../../.. && protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --go_out=. --go_opt=module=github.com/walnutcove/walnutcove store/forward/forwardpb/forward.proto"
