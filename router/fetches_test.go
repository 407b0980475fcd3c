package router

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestSilentPeerKeepsNoNewsBack: while a peer that was asked for its directory does not
// answer, another one is asked; else one at a time is.
func TestSilentPeerKeepsNoNewsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f fetches
		if !f.begin("a") {
			t.Fatal("the first peer is not asked")
		}
		if f.begin("a") || f.begin("b") {
			t.Error("a second one is asked at the same time")
		}
		time.Sleep(fetchOverdue)
		if f.begin("a") {
			t.Error("a peer is asked again before it answered")
		}
		if !f.begin("b") {
			t.Error("no other peer is asked while one does not answer")
		}
		if f.begin("c") {
			t.Error("two more are asked at the same time")
		}
		f.end("b")
		f.end("a")
		if !f.begin("a") {
			t.Error("a peer that answered is not asked again")
		}
	})
}
