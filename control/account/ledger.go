package account

import "time"

// Entry is what one scheduler knows of a workspace's service.
type Entry struct {
	// settled is the service of ended runs given here.
	settled float64
	// running counts runs in progress here, and weight is what one second of a
	// run counts for.
	running int
	weight  float64
	// charged is settled plus the charges of runs in progress.
	charged float64
	// base is the workspace's level without what was given here. It never falls.
	base float64
	// elsewhere is what the accounting node told last of the others.
	elsewhere Elsewhere
	// learnedAt is when it did; known says that it holds.
	learnedAt time.Duration
	known     bool
	// reported is the own service that was sent last.
	reported float64
	// granted is the sum of the charges made at grant, now and as of the last
	// report that was answered; sent holds the reports since then.
	granted, grantedThen float64
	sent                 []sentReport
}

// sentReport is what was granted when a report was made.
type sentReport struct{ own, granted float64 }

// maxSent bounds the unanswered reports that are remembered.
const maxSent = 32

// Elsewhere is what holds for a workspace at the other schedulers.
type Elsewhere struct {
	// Pending is what their runs in progress are expected to take yet.
	Pending float64
	// Waiting counts the others at which the workspace has something waiting.
	Waiting int
}

// Report is what a scheduler tells the accounting node of a workspace.
type Report struct {
	// Own is the service given there, in one incarnation. It never falls.
	Own float64
	// Level is the fleet's level as far as it is known there, Own included.
	Level float64
	// Pending is what its runs in progress are expected to take yet.
	Pending float64
	// Waiting says that the workspace has something waiting there.
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

// SetShare changes the share. Runs in progress count by the new one.
func (e *Entry) SetShare(share float64) {
	before := e.weight
	e.weight = 1 / share
	e.charged = e.settled + (e.charged-e.settled)*e.weight/before
}

// Weight returns what one second of slot time counts for.
func (e *Entry) Weight() float64 { return e.weight }

// Running returns the number of runs in progress.
func (e *Entry) Running() int { return e.running }

// Total returns the workspace's level as far as it is known here, with what all
// runs in progress are expected to take. The others at which it waits too are
// taken to have granted as much as this scheduler since it last heard of them:
// without that, all would make up for the same lag at once.
func (e *Entry) Total() float64 {
	unheard := float64(e.elsewhere.Waiting) * (e.granted - e.grantedThen)
	return e.charged + e.base + e.elsewhere.Pending + unheard
}

// Pending returns the part of Total that is charged for runs in progress: it is
// corrected at their end.
func (e *Entry) Pending() float64 {
	return max(0, e.Total()-e.base-e.settled)
}

// Known says that the fleet's level was learned of late.
func (e *Entry) Known() bool { return e.known }

// WaitsElsewhere says that the workspace has something waiting at another
// scheduler.
func (e *Entry) WaitsElsewhere() bool { return e.elsewhere.Waiting > 0 }

// Start counts a run that starts.
func (e *Entry) Start() { e.running++ }

// Grant charges a new run and returns the normalised amount.
func (e *Entry) Grant(estimate time.Duration) float64 {
	amount := e.Charge(estimate)
	e.granted += amount
	return amount
}

// Charge adds to the charges and returns the normalised amount. A negative
// time is a refund.
func (e *Entry) Charge(d time.Duration) float64 {
	amount := d.Seconds() * e.weight
	e.charged += amount
	return amount
}

// End settles a run that took service.
func (e *Entry) End(service time.Duration) {
	e.running--
	e.settled += service.Seconds() * e.weight
}

// Own returns the normalised service of the runs that ended here.
func (e *Entry) Own() float64 { return e.settled }

// Report returns what to tell the accounting node. changed says that runs ended
// since the last report. Runs in progress are told as pending, by their charges,
// which grow with them: the time since a grant may hold a slow start, and a count
// that only grows could not take it back.
func (e *Entry) Report(waiting bool) (report Report, changed bool) {
	changed = e.settled > e.reported
	e.reported = e.settled
	e.sent = append(e.sent, sentReport{e.reported, e.granted})
	if len(e.sent) > maxSent {
		e.sent = e.sent[1:]
	}
	return Report{
		Own:     e.reported,
		Level:   e.reported + e.base,
		Pending: max(0, e.charged-e.reported),
		Waiting: waiting,
	}, changed
}

// Lift raises the workspace's level in the fleet: it was idle and is to have no
// credit for that. The next report carries it.
func (e *Entry) Lift(amount float64) { e.base += max(0, amount) }

// Learn takes in what the accounting node holds: the fleet's level, and the part
// of it that came from here. Both only grow and the level grows at least as
// much, so an older message changes no level.
func (e *Entry) Learn(now time.Duration, level, own float64, elsewhere Elsewhere) {
	e.base = max(e.base, level-own)
	e.elsewhere = elsewhere
	e.answered(own)
	e.learnedAt = now
	e.known = true
}

// answered takes in that the report of own was answered.
func (e *Entry) answered(own float64) {
	for len(e.sent) > 0 && e.sent[0].own <= own {
		e.grantedThen = e.sent[0].granted
		e.sent = e.sent[1:]
	}
}

// Expire forgets what is known of other schedulers once it is old, and says
// whether it did.
func (e *Entry) Expire(now time.Duration) bool {
	if !e.known || now-e.learnedAt <= interestTime {
		return false
	}
	e.Unlearn()
	return true
}

// Unlearn forgets what is known of other schedulers; the level stays.
func (e *Entry) Unlearn() {
	e.known = false
	e.elsewhere = Elsewhere{}
}
