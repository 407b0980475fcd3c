package router

import "testing"

// TestExemptRequestsOweFewAdmissions guards against a router that sheds for seconds after many small workspaces
// were exempt from it.
func TestExemptRequestsOweFewAdmissions(t *testing.T) {
	b := newAdmissionBound(0.2)
	for range 10_000 {
		b.note()
	}
	b.refill(admissionWindow)
	if !b.exhausted() {
		t.Error("not exhausted by 10,000 requests")
	}
	b.refill(admissionWindow)
	b.refill(admissionWindow)
	if b.exhausted() {
		t.Error("still exhausted after two windows without requests")
	}
}
