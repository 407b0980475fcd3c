package platform

import (
	"encoding/json"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/store"
)

// FuzzHandle sends arbitrary requests to the stand-in. Each must succeed, or get an
// error code of the protocol and leave the rows unchanged.
func FuzzHandle(f *testing.F) {
	commit := `{"ops":[{"kind":"insert","table":"t","key":"k","value":"eA=="},{"kind":"check","table":"t","key":"j"}]}`
	f.Add("POST", store.PathCommit, []byte(commit))
	f.Add("POST", store.PathCommit, []byte(`{"ops":[{"kind":"update","table":"t","key":"seed","revision":1}]}`))
	f.Add("POST", store.PathCommit, []byte(`{"ops":[{"kind":"delete","table":"t","key":"seed","revision":1}]} {}`))
	f.Add("GET", store.PathRow+"?table=t&key=seed", []byte(nil))
	f.Add("GET", store.PathScan+"?table=t&from=%00&limit=18446744073709551616", []byte(nil))
	f.Add("PUT", store.PathObjects+"?name=o", []byte("whole"))
	f.Add("POST", store.PathWeightsFetch, []byte(`{"id":"1","artifact":"m","target":"t"}`))
	f.Add("POST", store.PathWeightsFinish, []byte(`{"id":"1"}`))
	f.Add("POST", pathVMs, []byte(`{"vms":[{"name":"a","state":"live"}]}`))
	f.Add("GET", pathJournal+"?after=-1&limit=99999999999", []byte(nil))
	f.Fuzz(func(t *testing.T, method, uri string, body []byte) {
		server := New(Options{})
		seed := []store.Op{{Kind: store.OpInsert, Table: "t", Key: "seed"}}
		if err := server.Store().Commit(t.Context(), seed); err != nil {
			t.Fatal(err)
		}
		var ctx fasthttp.RequestCtx
		ctx.Init(&fasthttp.Request{}, nil, discardLogger{})
		ctx.Request.Header.SetMethod(method)
		ctx.Request.SetRequestURI(uri)
		ctx.Request.SetBody(body)
		if string(ctx.Path()) == pathFault {
			t.Skip("a fault may hold the call")
		}
		server.handle(&ctx, nil)
		checkAnswer(t, server, &ctx)
	})
}

// checkAnswer checks that an answer other than 200 has an error code and that its
// call wrote nothing.
func checkAnswer(t *testing.T, server *Server, ctx *fasthttp.RequestCtx) {
	t.Helper()
	if ctx.Response.StatusCode() == fasthttp.StatusOK {
		return
	}
	var reply store.ErrorReply
	if err := json.Unmarshal(ctx.Response.Body(), &reply); err != nil || reply.Code == "" {
		t.Fatalf("status %d without a code: %s", ctx.Response.StatusCode(), ctx.Response.Body())
	}
	if got := len(server.Journal(0, 10).Entries); got != 1 {
		t.Fatalf("%s after %d writes", reply.Code, got-1)
	}
}

// FuzzDecodeCommit checks that the operations of every commit that decodes are the
// same, and pass the same limits, after they are encoded and decoded again.
func FuzzDecodeCommit(f *testing.F) {
	f.Add([]byte(`{"ops":[{"kind":"insert","table":"t","key":"k","value":"eA=="}]}`))
	f.Add([]byte(`{"ops":[{"kind":"delete","table":"t","key":"\ud800","revision":18446744073709551615}]}`))
	f.Add([]byte(`{"ops":[{"kind":"check","table":"","key":"k"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		ops, err := decodeCommit(body)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(store.CommitRequest{Ops: ops})
		if err != nil {
			t.Fatal(err)
		}
		again, err := decodeCommit(encoded)
		if err != nil {
			t.Fatalf("%s: %v", encoded, err)
		}
		for i := range ops {
			a, b := ops[i], again[i]
			if a.Kind != b.Kind || a.Table != b.Table || a.Key != b.Key || a.Revision != b.Revision || string(a.Value) != string(b.Value) {
				t.Fatalf("%+v became %+v", a, b)
			}
		}
	})
}
