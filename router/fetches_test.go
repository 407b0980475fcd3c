package router

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestAnotherPeerIsAskedWhenOneIsOverdue checks that peers are asked for their directory one
// at a time, and that another one is asked if the first does not answer in time.
func TestAnotherPeerIsAskedWhenOneIsOverdue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f directoryFetches
		if !f.tryBegin("a") {
			t.Fatal("the first peer is not asked")
		}
		if f.tryBegin("a") || f.tryBegin("b") {
			t.Error("a second peer is asked at the same time")
		}
		time.Sleep(fetchOverdueAfter)
		if f.tryBegin("a") {
			t.Error("a peer is asked again before it answered")
		}
		if !f.tryBegin("b") {
			t.Error("no other peer is asked while one does not answer")
		}
		if f.tryBegin("c") {
			t.Error("two more peers are asked at the same time")
		}
		f.end("b")
		f.end("a")
		if !f.tryBegin("a") {
			t.Error("a peer that answered is not asked again")
		}
	})
}
