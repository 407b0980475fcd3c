package linkpb

//go:generate sh -c "cd ../../.. && protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --go_out=. --go_opt=module=github.com/walnutcove/walnutcove offload/link/linkpb/link.proto"
