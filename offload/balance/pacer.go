package balance

import "time"

const (
	// initialRatePerCore and maxRatePerCore are rates of requests per second and core. A request
	// takes about 0.5 ms of processor time, so the initial rate uses an eighth of a core.
	initialRatePerCore = 250
	maxRatePerCore     = 1500
	// minRatePerCore is the rate from which an executor that was late grows again.
	minRatePerCore = 25
	// rateGrowth is the factor per step while the executor is in time and its rate is used, and
	// rateReduction the factor when it is late, at most once per reductionInterval.
	rateGrowth        = 1.1
	rateReduction     = 2.0 / 3
	reductionInterval = 200 * time.Millisecond
	// growthLag is the lag below which the rate grows, and reductionLag that above which it is
	// reduced.
	growthLag    = 2 * time.Millisecond
	reductionLag = 5 * time.Millisecond
	// growthUse is the part of the rate that must be used for it to grow.
	growthUse = 0.8
	// useSteps is the number of steps over which the use is measured: a rate of 36 requests per
	// second is less than two per step.
	useSteps = 4
	// maxUsed is the part of the body bytes and of the descriptors in use above which nothing is
	// accepted from other routers.
	maxUsed = 0.75
	// maxStep bounds the time between two steps that counts, so that an executor that was paused
	// does not accept at once what it would have accepted meanwhile.
	maxStep = 100 * time.Millisecond
	// window is how much of its share a source may hold as unused allowance: what it uses until
	// the grant of the next step arrives.
	window = 100 * time.Millisecond
	// demandWeight is the weight of a step in the average of what a source asks for.
	demandWeight = 0.3
	// demandMargin is how much more than it asks for a source is granted, as arrivals vary.
	demandMargin = 1.25
	// idleDemand is the demand in requests per second below which a source counts as idle.
	idleDemand = 1
	// idleAllowance is what an idle source holds, so that its first request needs no round trip.
	// It is one request, as many idle sources may become overloaded at the same time.
	idleAllowance = 1
	// maxOpenUnbounded bounds the open requests of all sources, and of each, if descriptors are not
	// limited.
	maxOpenUnbounded = 1024
	// sourceOpenDivisor and totalOpenDivisor are the divisors of the descriptors that bound the
	// open requests of one source and of all of them.
	sourceOpenDivisor = 6
	totalOpenDivisor  = 3
)

// Load is the state of an executor at a step.
type Load struct {
	// Lag is the average time that work waits for the processor.
	Lag time.Duration
	// Closed is set while the executor sheds, has left the load balancer's rotation or drains.
	Closed bool
	// BytesUsed and DescriptorsUsed are the parts of its body bytes and descriptors in use, from
	// 0 to 1.
	BytesUsed, DescriptorsUsed float64
}

// Demand is what one source asked for.
type Demand struct {
	// Link identifies the link of the source.
	Link uint64
	// Sent counts the requests that it sent since the link opened, and Wanted those that it sent
	// or did not send for lack of allowance.
	Sent, Wanted uint64
	// Open is the number of its requests that have not ended.
	Open int
}

// Grant is what one source may send.
type Grant struct {
	// More is added to the number of requests that the source may have sent.
	More int
	// MaxOpen is how many of its requests may be open at once; zero: it may send none.
	MaxOpen int
}

// MaxOpen returns how many requests of all sources together an executor with the given number of
// descriptors accepts; no descriptors means no limit.
func MaxOpen(descriptors int) int {
	if descriptors == 0 {
		return maxOpenUnbounded
	}
	return descriptors / totalOpenDivisor
}

// Pacer determines how many requests an executor accepts from other routers. Create it with
// NewPacer.
type Pacer struct {
	cores       float64
	descriptors int
	rate        float64
	isClosed    bool
	steppedAt   time.Duration
	reducedAt   time.Duration
	hasReduced  bool
	links       map[uint64]*pacedLink
	// used and possible are the requests sent, and those that the rate allowed, in each of the
	// last steps.
	used, possible [useSteps]float64
	stepCount      int
}

// pacedLink is the state of the link of one source.
type pacedLink struct {
	sent, wanted uint64
	// granted counts the requests that the source may have sent.
	granted uint64
	// demand is in requests per second.
	demand float64
	// budget is how many requests the source may send now. It may be less than the allowance that
	// the source has left, which cannot be taken back; Grant.MaxOpen bounds it then.
	budget float64
}

// NewPacer returns the pacer of an executor of the given size. No descriptors means no limit.
func NewPacer(cores float64, descriptors int) *Pacer {
	return &Pacer{
		cores:       cores,
		descriptors: descriptors,
		rate:        initialRatePerCore * cores,
		links:       make(map[uint64]*pacedLink),
	}
}

// Rate returns the number of requests per second that the executor accepts.
func (p *Pacer) Rate() float64 {
	if p.isClosed {
		return 0
	}
	return p.rate
}

// Step returns the grants for the demands, in their order. It is called every 50 ms while there
// are links. Links that are not among the demands are forgotten.
func (p *Pacer) Step(now time.Duration, load Load, demands []Demand) []Grant {
	elapsed := min(max(now-p.steppedAt, time.Millisecond), maxStep).Seconds()
	p.steppedAt = now
	asked := p.noteDemands(demands, elapsed)
	p.adjustRate(now, load)
	grants := make([]Grant, len(demands))
	if p.isClosed {
		p.dropBudgets()
		return grants
	}
	shares := maxMinShares(p.rate, asked)
	free := p.freeOpen(demands)
	for i, demand := range demands {
		grants[i] = p.grant(demand, shares[i], elapsed, free)
	}
	return grants
}

// noteDemands updates the links and returns what each asks for, in requests per second.
func (p *Pacer) noteDemands(demands []Demand, elapsed float64) []float64 {
	before := p.links
	p.links = make(map[uint64]*pacedLink, len(demands))
	asked := make([]float64, len(demands))
	sent := 0.0
	for i, demand := range demands {
		link := before[demand.Link]
		if link == nil {
			link = &pacedLink{}
		}
		p.links[demand.Link] = link
		sent += float64(demand.Sent - link.sent)
		asked[i] = link.note(demand, elapsed)
	}
	slot := p.stepCount % useSteps
	p.used[slot], p.possible[slot] = sent, p.Rate()*elapsed
	p.stepCount++
	return asked
}

// note adds what a source asked for since the last step, and returns what it asks for now in
// requests per second.
func (l *pacedLink) note(demand Demand, elapsed float64) float64 {
	latest := float64(demand.Wanted-l.wanted) / elapsed
	l.budget -= float64(demand.Sent - l.sent)
	l.sent, l.wanted = demand.Sent, demand.Wanted
	l.demand = max(latest, l.demand+demandWeight*(latest-l.demand))
	if l.demand < idleDemand {
		l.demand = 0
	}
	asked := demandMargin * l.demand
	if l.budget < idleAllowance {
		asked += idleAllowance / elapsed
	}
	return asked
}

// unused returns the allowance that the source has not used.
func (l *pacedLink) unused() float64 { return float64(l.granted - min(l.granted, l.sent)) }

// adjustRate changes the rate according to the load.
func (p *Pacer) adjustRate(now time.Duration, load Load) {
	p.isClosed = load.Closed || load.BytesUsed > maxUsed || load.DescriptorsUsed > maxUsed
	initial := initialRatePerCore * p.cores
	switch {
	case p.isClosed && p.rate > initial:
		p.reduce(now, initial)
	case p.isClosed:
	case load.Lag > reductionLag:
		p.reduce(now, minRatePerCore*p.cores)
	case load.Lag < growthLag && (p.rate < initial || p.isUsed()):
		p.rate = min(p.rate*rateGrowth, maxRatePerCore*p.cores)
	}
}

// reduce reduces the rate, but not below least.
func (p *Pacer) reduce(now time.Duration, least float64) {
	if p.hasReduced && now-p.reducedAt < reductionInterval {
		return
	}
	p.hasReduced, p.reducedAt = true, now
	p.rate = max(p.rate*rateReduction, least)
}

// isUsed reports whether most of the rate was used in the last steps.
func (p *Pacer) isUsed() bool {
	used, possible := 0.0, 0.0
	for i := range p.used {
		used += p.used[i]
		possible += p.possible[i]
	}
	return possible > 0 && used >= growthUse*possible
}

// dropBudgets takes back what the sources have not used.
func (p *Pacer) dropBudgets() {
	for _, link := range p.links {
		link.budget = min(link.budget, 0)
	}
}

// grant returns the grant of a source that gets a share in requests per second and may open the
// given number of further requests.
func (p *Pacer) grant(demand Demand, share, elapsed float64, free int) Grant {
	link := p.links[demand.Link]
	limit := max(share*window.Seconds(), idleAllowance)
	link.budget = min(max(link.budget, -limit)+share*elapsed, limit)
	more := max(0, int(link.budget-link.unused()))
	link.granted += uint64(more)
	return Grant{More: more, MaxOpen: p.maxOpen(demand.Open, max(0, int(link.budget)), free)}
}

// maxOpen returns how many requests a source may have open.
func (p *Pacer) maxOpen(open, more, free int) int {
	bound := maxOpenUnbounded
	if p.descriptors > 0 {
		bound = p.descriptors / sourceOpenDivisor
	}
	return min(open+min(more, free), bound)
}

// freeOpen returns how many more requests each source may open so that all of them stay within
// the bound.
func (p *Pacer) freeOpen(demands []Demand) int {
	free, asking := MaxOpen(p.descriptors), 0
	for _, demand := range demands {
		free -= demand.Open
		if p.links[demand.Link].demand > 0 {
			asking++
			continue
		}
		free -= idleAllowance
	}
	return max(0, free) / max(1, asking)
}
