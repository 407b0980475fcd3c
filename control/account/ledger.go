package account

import "time"

// Entry is what one scheduler knows of a workspace's service.
type Entry struct {
	// settled is the service of ended runs given here.
	settled float64
	// running counts runs in progress here; startSum is the sum of their
	// starts in seconds and weight what one second of a run counts for.
	running  int
	startSum float64
	weight   float64
	// charged is settled plus the charges of runs in progress.
	charged float64
	// others is the service given elsewhere since this entry was made.
	others float64
	// source, sourceTotal and known tell the last message that others came from.
	source      Source
	sourceOther float64
	known       bool
	// reported is the highest count that was sent.
	reported float64
}

// Source is one incarnation of an accounting node.
type Source struct {
	Node        string
	Incarnation uint64
}

// NewEntry returns an entry for a workspace with the given share.
func NewEntry(share float64) *Entry {
	return &Entry{weight: 1 / share}
}

// SetShare changes the share for service from now on.
func (e *Entry) SetShare(now time.Duration, share float64) {
	e.settled = e.Own(now)
	e.startSum = float64(e.running) * now.Seconds()
	e.weight = 1 / share
}

// Weight returns what one second of slot time counts for.
func (e *Entry) Weight() float64 { return e.weight }

// Running returns the number of runs in progress.
func (e *Entry) Running() int { return e.running }

// Total returns the normalised service in the fleet since the entry was made,
// with the charges of the runs in progress here.
func (e *Entry) Total() float64 { return e.charged + e.others }

// Start counts a run that starts now.
func (e *Entry) Start(now time.Duration) {
	e.running++
	e.startSum += now.Seconds()
}

// Charge adds to the charges and returns the normalised amount. A negative
// time is a refund.
func (e *Entry) Charge(d time.Duration) float64 {
	amount := d.Seconds() * e.weight
	e.charged += amount
	return amount
}

// End settles a run that started at start and took service.
func (e *Entry) End(start, service time.Duration) {
	e.running--
	e.startSum -= start.Seconds()
	if e.running == 0 {
		e.startSum = 0
	}
	e.settled += service.Seconds() * e.weight
}

// Own returns the normalised service given here, with that of the runs in
// progress up to now.
func (e *Entry) Own(now time.Duration) float64 {
	return e.settled + (float64(e.running)*now.Seconds()-e.startSum)*e.weight
}

// Report returns the count to send: it never falls. changed says that it grew
// since the last report.
func (e *Entry) Report(now time.Duration) (own float64, changed bool) {
	own = e.Own(now)
	if own <= e.reported {
		return e.reported, false
	}
	e.reported = own
	return own, true
}

// Rebase makes the next total a base line only. It is for a workspace that was
// not followed for a while: what others gave it meanwhile belongs to the past.
func (e *Entry) Rebase() { e.known = false }

// Learn takes in a total of the accounting node. own is the part of it that
// came from here. The first total of a source is only a base line.
func (e *Entry) Learn(from Source, total, own float64) {
	other := total - own
	if !e.known || e.source != from {
		e.source, e.sourceOther, e.known = from, other, true
		return
	}
	if other > e.sourceOther {
		e.others += other - e.sourceOther
		e.sourceOther = other
	}
}
