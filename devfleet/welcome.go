package devfleet

import (
	"fmt"
	"strings"
)

// Welcome returns instructions for trying a fleet: its addresses, and command lines
// ready to copy.
func Welcome(f *Fleet) string {
	var b strings.Builder
	for n, r := range f.Routers {
		fmt.Fprintf(&b, "Router vm-%d: callers http://%s, operators http://%s\n", n+1, r.CallersAddress(), r.OperatorsAddress())
	}
	caller := "http://" + f.Routers[0].CallersAddress()
	operator := f.Routers[0].OperatorsAddress()
	fmt.Fprintf(&b, `
A streamed answer:
  curl -N %[1]s/v1/chat/completions -H 'Authorization: Bearer %[2]s' -H 'Content-Type: application/json' -d '{"model":"%[3]s","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Write a blurb. mark:trial"}]}'

A non-idempotent call, which runs at most once for each key (send it twice):
  curl -i %[1]s%[4]s/site -H 'Authorization: Bearer %[2]s' -H 'Idempotency-Key: deploy-1' -d 'mark:deploy'

A refusal with its code:
  curl -i %[1]s/v1/chat/completions -H 'Authorization: Bearer wrong' -d '{}'

The fleet's state:
  go run ./cmd/walnutctl --router %[5]s status

Ctrl-C drains and ends.
`, caller, DemoKey("bakery"), Model, ServicePath, operator)
	return b.String()
}
