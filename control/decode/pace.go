package decode

import "time"

// PaceOptions configure a Pace.
type PaceOptions struct {
	// OverrunPart is the expected rest of an answer that is longer than its stated length, as a
	// part of what has been generated.
	OverrunPart float64
	// MinReadPart is the part of its time that a target may always read. Answers that would need
	// it to read less may miss their deadlines.
	MinReadPart float64
}

// updateInterval is how often the allowed part is computed again.
const updateInterval = 100 * time.Millisecond

// Pace limits for how much of its time one target reads prompts.
//
// What is granted counts as a debt of reading time, which is paid off at the allowed rate. A
// target whose answers all end in time pays it off as it reads.
type Pace struct {
	options PaceOptions
	model   *Model
	answers []*Answer
	// allowed is the part of its time that the target may read, as of updatedAt.
	allowed   float64
	updatedAt time.Duration
	// debt is the reading time granted and not paid off at paidAt, in seconds.
	debt   float64
	paidAt time.Duration
}

// Answer is one answer in progress.
type Answer struct {
	// tokens is its stated length.
	tokens   float64
	deadline time.Duration
	// begunAt is when its first event came, and readBefore how long the target had read
	// until then, in seconds; they are valid once begun is set.
	begunAt    time.Duration
	readBefore float64
	begun      bool
}

// isTimed reports whether it is known when the answer should end.
func (a *Answer) isTimed() bool { return a.deadline != 0 && a.tokens > 0 }

// Clock is the state of a target: the time, for how long it has read prompts so far, in seconds,
// and its slowness as a factor on the usual time of a step.
type Clock struct {
	Now      time.Duration
	Read     float64
	Slowness float64
}

// NewPace returns the pace of a target without answers.
func NewPace(model *Model, options PaceOptions) *Pace {
	return &Pace{options: options, model: model, allowed: 1}
}

// Start adds an answer with a stated length in tokens and a deadline, whose prompt takes a time to
// read, in seconds. An answer without a stated length or a deadline, zero, sets no limit.
func (p *Pace) Start(c Clock, tokens int, deadline time.Duration, reads float64) *Answer {
	p.pay(c.Now)
	p.debt += reads
	a := &Answer{tokens: float64(tokens), deadline: deadline}
	p.answers = append(p.answers, a)
	if part, bounded := p.partFor(c, a); bounded {
		p.allowed = min(p.allowed, part)
	}
	return a
}

// Begun records that the first event of an answer came.
func (p *Pace) Begun(c Clock, a *Answer) {
	if !a.begun {
		a.begun, a.begunAt, a.readBefore = true, c.Now, c.Read
	}
}

// Complete learns from an answer that is complete. End has to be called, too.
func (p *Pace) Complete(c Clock, a *Answer) {
	if a.begun {
		p.model.learn(a.tokens, p.spanOf(c, a))
	}
}

// End removes an answer.
func (p *Pace) End(a *Answer) {
	for i, other := range p.answers {
		if other == a {
			p.answers = append(p.answers[:i], p.answers[i+1:]...)
			return
		}
	}
}

// Limit is how the answers in progress at a target, and one more, limit its reading.
type Limit struct {
	// Allowed is the part of its time that the target may read, and Needed the part that it may
	// read so that one more answer ends in time; 1 if there is no limit.
	Allowed, Needed float64
	// Feasible reports whether that answer can end in time at all.
	Feasible bool
}

// IsStale reports whether Update is due.
func (p *Pace) IsStale(now time.Duration) bool { return now-p.updatedAt >= updateInterval }

// Update computes the allowed part again.
func (p *Pace) Update(c Clock) {
	p.pay(c.Now)
	p.updatedAt = c.Now
	p.allowed = 1
	for _, a := range p.answers {
		if part, bounded := p.partFor(c, a); bounded {
			p.allowed = min(p.allowed, part)
		}
	}
}

// LimitWith returns the limit with an answer that is started now at a target of the given slowness.
func (p *Pace) LimitWith(now time.Duration, slowness float64, tokens int, deadline time.Duration) Limit {
	c := Clock{Now: now, Slowness: slowness}
	a := Answer{tokens: float64(tokens), deadline: deadline}
	part, bounded := p.partFor(c, &a)
	return Limit{Allowed: p.allowed, Needed: part, Feasible: bounded || !a.isTimed()}
}

// Debt returns the reading time that was granted beyond what the target may have read since.
func (p *Pace) Debt(now time.Duration) time.Duration {
	p.pay(now)
	return time.Duration(p.debt * float64(time.Second))
}

// pay pays off what the target may have read since the last call.
func (p *Pace) pay(now time.Duration) {
	p.debt = max(0, p.debt-p.allowed*(now-p.paidAt).Seconds())
	p.paidAt = now
}

// partFor returns the part of its time that the target may read so that an answer ends in time.
// bounded is false if there is no limit, as the answer has no deadline or misses it in any case.
func (p *Pace) partFor(c Clock, a *Answer) (part float64, bounded bool) {
	left := (a.deadline - c.Now).Seconds()
	if !a.isTimed() || left <= 0 {
		return 1, false
	}
	generated := 0.0
	if a.begun {
		generated = p.model.tokens(p.spanOf(c, a))
	}
	rest := max(a.tokens-generated, p.options.OverrunPart*generated)
	budget := p.model.readingBudget(c.Slowness*rest, left)
	if budget < 0 {
		return 1, false
	}
	return min(1, max(p.options.MinReadPart, budget/left)), true
}

// spanOf returns the time since an answer began, in seconds of a target of usual speed.
func (p *Pace) spanOf(c Clock, a *Answer) Span {
	total := (c.Now - a.begunAt).Seconds()
	reading := min(total, max(0, c.Read-a.readBefore))
	return Span{Reading: reading / c.Slowness, Idle: (total - reading) / c.Slowness}
}
