package account

import "time"

// Entry is what one scheduler knows of a workspace's service.
type Entry struct {
	// settled is the normalised service of the runs that ended here.
	settled float64
	// running is the number of runs in progress here, and weight the normalised service
	// of one second of a run.
	running int
	weight  float64
	// charged is settled plus the charges of runs in progress.
	charged float64
	// base is the workspace's level without the service given here. It never falls.
	base float64
	// elsewhere is what the accounting node last sent about the other schedulers.
	elsewhere Elsewhere
	// learnedAt is the time of that message; known is set while it is valid.
	learnedAt time.Duration
	known     bool
	// reported is the own service in the last report.
	reported float64
	// granted is the sum of the charges made at grant, and grantedAtReport its value at
	// the last report that was answered; unanswered holds the reports since then.
	granted, grantedAtReport float64
	unanswered               []sentReport
}

// sentReport is the own service and the value of granted in one report.
type sentReport struct{ own, granted float64 }

// maxUnanswered bounds the unanswered reports that are remembered.
const maxUnanswered = 32

// Elsewhere is the state of a workspace at the other schedulers.
type Elsewhere struct {
	// Pending is the service that their runs in progress are expected to take.
	Pending float64
	// Waiting is the number of other schedulers with waiting tickets of the workspace.
	Waiting int
}

// Report is what a scheduler sends to the accounting node of a workspace.
type Report struct {
	// Own is the service given by the scheduler in one incarnation. It never falls.
	Own float64
	// Level is the fleet's level as known to the scheduler, including Own.
	Level float64
	// Pending is the service that its runs in progress are expected to take.
	Pending float64
	// Waiting is set if tickets of the workspace wait at the scheduler.
	Waiting bool
}

// Source is one incarnation of a node.
type Source struct {
	Node        string
	Incarnation uint64
}

// NewEntry returns an entry for a workspace with the given share.
func NewEntry(share float64) *Entry {
	return &Entry{weight: 1 / share}
}

// SetShare changes the share, also for the runs in progress.
func (e *Entry) SetShare(share float64) {
	before := e.weight
	e.weight = 1 / share
	e.charged = e.settled + (e.charged-e.settled)*e.weight/before
}

// Weight returns the normalised service of one second of slot time.
func (e *Entry) Weight() float64 { return e.weight }

// Running returns the number of runs in progress.
func (e *Entry) Running() int { return e.running }

// Total returns the workspace's level as known here, including what all runs in progress
// are expected to take. It assumes that each of the other schedulers where the workspace
// waits has granted as much as this one since their last message. Without that, all
// schedulers would make up for the same lag at once.
func (e *Entry) Total() float64 {
	assumed := float64(e.elsewhere.Waiting) * (e.granted - e.grantedAtReport)
	return e.charged + e.base + e.elsewhere.Pending + assumed
}

// Pending returns the part of Total that is charged for runs in progress and corrected
// when they end.
func (e *Entry) Pending() float64 {
	return max(0, e.Total()-e.base-e.settled)
}

// Known reports whether the fleet's level was learned within reportTTL.
func (e *Entry) Known() bool { return e.known }

// WaitsElsewhere reports whether tickets of the workspace wait at another scheduler.
func (e *Entry) WaitsElsewhere() bool { return e.elsewhere.Waiting > 0 }

// Start records the start of a run.
func (e *Entry) Start() { e.running++ }

// Grant charges a new run and returns the normalised amount.
func (e *Entry) Grant(estimate time.Duration) float64 {
	amount := e.Charge(estimate)
	e.granted += amount
	return amount
}

// Charge adds to the charges and returns the normalised amount. A negative time is a
// refund.
func (e *Entry) Charge(d time.Duration) float64 {
	amount := d.Seconds() * e.weight
	e.charged += amount
	return amount
}

// End settles a run that took the given slot time.
func (e *Entry) End(service time.Duration) {
	e.running--
	e.settled += service.Seconds() * e.weight
}

// Own returns the normalised service of the runs that ended here.
func (e *Entry) Own() float64 { return e.settled }

// Report returns the next report to the accounting node. changed is set if runs ended
// since the last report. Runs in progress are reported as pending, by their charges, and
// not added to Own as they go on: the time since a grant may include a slow start, and
// Own, which never falls, could not be corrected.
func (e *Entry) Report(waiting bool) (report Report, changed bool) {
	changed = e.settled > e.reported
	e.reported = e.settled
	e.unanswered = append(e.unanswered, sentReport{e.reported, e.granted})
	if len(e.unanswered) > maxUnanswered {
		e.unanswered = e.unanswered[1:]
	}
	return Report{
		Own:     e.reported,
		Level:   e.reported + e.base,
		Pending: max(0, e.charged-e.reported),
		Waiting: waiting,
	}, changed
}

// Lift raises the workspace's level in the fleet, for one that was idle and must not
// gain credit from that. The next report contains it.
func (e *Entry) Lift(amount float64) { e.base += max(0, amount) }

// Learn adopts what the accounting node sent: the fleet's level and the part of it that
// came from here. Both only grow, and the level grows at least as much, so an older
// message does not change the level.
func (e *Entry) Learn(now time.Duration, level, own float64, elsewhere Elsewhere) {
	e.base = max(e.base, level-own)
	e.elsewhere = elsewhere
	e.dropAnswered(own)
	e.learnedAt = now
	e.known = true
}

// dropAnswered removes the sent reports up to the one with the given own service, which
// has been answered.
func (e *Entry) dropAnswered(own float64) {
	for len(e.unanswered) > 0 && e.unanswered[0].own <= own {
		e.grantedAtReport = e.unanswered[0].granted
		e.unanswered = e.unanswered[1:]
	}
}

// Expire discards the state of other schedulers once it is older than reportTTL, and
// reports whether it did.
func (e *Entry) Expire(now time.Duration) bool {
	if !e.known || now-e.learnedAt <= reportTTL {
		return false
	}
	e.DropElsewhere()
	return true
}

// DropElsewhere discards the state of other schedulers; the level stays.
func (e *Entry) DropElsewhere() {
	e.known = false
	e.elsewhere = Elsewhere{}
}
