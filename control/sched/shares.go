package sched

import (
	"math"
	"slices"
	"time"
)

const (
	// demandTimeConstant is the time constant of the demand average. A shorter one
	// follows bursts sooner, but mistakes random variation for demand.
	demandTimeConstant = 1500 * time.Millisecond
	// shareBurstWindow bounds the unused share that a workspace may save up and then use
	// at once, as a time at the rate of its share.
	shareBurstWindow = 1500 * time.Millisecond
	// levelInterval is how often the level is recomputed.
	levelInterval = 100 * time.Millisecond
	// refusalWindow is how long a refusal shows that a workspace could use more
	// capacity.
	refusalWindow = time.Second
	// sizeWeight is the weight of one request in the average request size. About twenty
	// requests count, as those of one workspace differ by a factor of ten.
	sizeWeight = 0.05
	// behindShareRatio is the fraction of its share below which a workspace counts as
	// behind it. By chance alone, some workspaces are a little below their share for a
	// while.
	behindShareRatio = 0.7
	// continuedTimeConstant is the time constant of what a workspace began and continued:
	// about the length of a stream.
	continuedTimeConstant = 5 * time.Second
	// maxContinuedRatio bounds what a workspace may continue outside its share, as a fraction
	// of what it began. Callers that disconnect and reconnect all the time exceed their
	// share by this much.
	maxContinuedRatio = 0.5
	// shareIdleTimeout is how long a workspace without requests is remembered.
	shareIdleTimeout = 30 * time.Second
)

// Shares decides which requests are within their workspace's max-min share of a pool's
// capacity. Each workspace gets its demand up to one level that is the same for all,
// chosen so that the capacity is used up. Requests beyond the share may be served from
// spare capacity, but must not make others late.
type Shares struct {
	capacityPerSecond float64
	flows             map[string]*shareFlow
	level             float64
	levelAt           time.Duration
	levelKnown        bool
}

// shareFlow holds the demand and the service of one workspace.
type shareFlow struct {
	// demand decays with demandTimeConstant; demand/demandTimeConstant is the demand per
	// second.
	demand float64
	// granted decays like demand and sums what the workspace was granted.
	granted float64
	// served is granted plus what raiseServed added. Workspaces are compared by it.
	served float64
	// size is the average amount of one of its requests. unread decays like granted and
	// estimates the amount of the requests that routers refused unread.
	size   float64
	unread float64
	// begun and continued decay with continuedTimeConstant. They sum what was granted to new
	// requests, and what was continued outside the share.
	begun, continued float64
	// credit is the unused part of the share, which the workspace may use at once.
	credit    float64
	updatedAt time.Duration
	// refusedAt is when a request was last refused for lack of capacity, if refused is
	// set.
	refusedAt time.Duration
	refused   bool
	// unreadAt is when routers last refused requests unread.
	unreadAt time.Duration
}

// NewShares returns the shares of a capacity per second; zero means unbounded.
func NewShares(perSecond float64) *Shares {
	return &Shares{capacityPerSecond: perSecond, flows: make(map[string]*shareFlow), level: math.Inf(1)}
}

// SetCapacity changes the capacity.
func (s *Shares) SetCapacity(perSecond float64) { s.capacityPerSecond = perSecond }

// Level returns the share per second of each workspace whose demand exceeds it.
func (s *Shares) Level() float64 { return s.level }

// Take records a request and reports whether it is within its workspace's share. If it
// is, the amount is taken from the share.
func (s *Shares) Take(now time.Duration, workspace string, amount float64) bool {
	if s.capacityPerSecond <= 0 {
		return true
	}
	f := s.flow(now, workspace)
	f.demand += amount
	f.updateSize(amount)
	s.updateLevel(now)
	if math.IsInf(s.level, 1) {
		return true
	}
	if f.credit <= 0 {
		return false
	}
	f.credit -= amount
	return true
}

// TakeContinued records the continuation of a stream, for which its workspace was charged when
// it began, and reports whether it may be served outside the share.
func (s *Shares) TakeContinued(now time.Duration, workspace string, amount float64) bool {
	f := s.flow(now, workspace)
	if f.continued+amount > maxContinuedRatio*f.begun {
		return false
	}
	f.continued += amount
	return true
}

// Refund gives back the part of the share that a request used which is not served after
// all, if the workspace is behind its share: a request that cannot be placed must not
// reduce the share. A workspace that is not behind already gets its share through its
// other grants, and more requests within the share would only wait for one another until
// they are late.
func (s *Shares) Refund(now time.Duration, workspace string, amount float64) {
	f := s.flow(now, workspace)
	if f.granted < behindShareRatio*s.shareRate()*demandTimeConstant.Seconds() {
		f.credit = min(f.credit+amount, s.maxCredit())
	}
}

// HasCredit reports whether a workspace has not used up its share.
func (s *Shares) HasCredit(now time.Duration, workspace string) bool {
	if s.capacityPerSecond <= 0 || math.IsInf(s.level, 1) {
		return true
	}
	return s.flow(now, workspace).credit > 0
}

// Served records a new request that is granted.
func (s *Shares) Served(now time.Duration, workspace string, amount float64) {
	s.ServedAgain(now, workspace, amount)
	s.flow(now, workspace).begun += amount
}

// ServedAgain records the grant of a request that was granted before, and is continued or run
// again.
func (s *Shares) ServedAgain(now time.Duration, workspace string, amount float64) {
	f := s.flow(now, workspace)
	f.granted += amount
	f.served += amount
}

// Refused records that a request was refused for lack of capacity.
func (s *Shares) Refused(now time.Duration, workspace string) {
	f := s.flow(now, workspace)
	wantedBefore := f.wantsMore(now)
	f.refused, f.refusedAt = true, now
	s.raiseServed(now, f, wantedBefore)
}

// RefusedUnread records that routers refused requests of a workspace before reading
// them. If these exceed what it was granted, the routers are its bottleneck, and others
// yield to it as they do to a workspace that is refused here. A few refused requests
// have no effect, as their retries are served through other routers.
func (s *Shares) RefusedUnread(now time.Duration, workspace string, count int) {
	f := s.flow(now, workspace)
	wantedBefore := f.wantsMore(now)
	f.unread += float64(count) * f.size
	f.unreadAt = now
	s.raiseServed(now, f, wantedBefore)
}

// raiseServed raises the served amount of a workspace that begins to want more capacity
// to the least of the others that want more. Capacity that it did not use before must
// not give it precedence over workspaces that were refused in that time.
func (s *Shares) raiseServed(now time.Duration, f *shareFlow, wantedBefore bool) {
	if wantedBefore || !f.wantsMore(now) {
		return
	}
	f.served = max(f.served, s.minServed(now, f))
}

// wantsMore reports whether the workspace could use more capacity than it gets.
func (f *shareFlow) wantsMore(now time.Duration) bool {
	refusedHere := f.refused && now-f.refusedAt <= refusalWindow
	refusedUnread := f.unread > f.granted && now-f.unreadAt <= refusalWindow
	return refusedHere || refusedUnread
}

// updateSize adds the amount of a request to the average request size.
func (f *shareFlow) updateSize(amount float64) {
	if f.size == 0 {
		f.size = amount
	}
	f.size += sizeWeight * (amount - f.size)
}

// minServed returns the least served amount of the other workspaces that want more; zero
// if there are none.
func (s *Shares) minServed(now time.Duration, except *shareFlow) float64 {
	lowest, found := 0.0, false
	for _, f := range s.flows {
		if f == except || !f.wantsMore(now) {
			continue
		}
		if served := decayed(f.served, now-f.updatedAt); !found || served < lowest {
			lowest, found = served, true
		}
	}
	return lowest
}

// Yields reports whether a workspace has to leave spare capacity to another one that
// wants more and has been served less than the given fraction of its own service.
func (s *Shares) Yields(now time.Duration, workspace string, ratio float64) bool {
	own := s.flow(now, workspace).served
	for name, f := range s.flows {
		if name == workspace || !f.wantsMore(now) {
			continue
		}
		// The flow must not be changed here, or its values would depend on the order of
		// map iteration.
		if decayed(f.served, now-f.updatedAt) < ratio*own {
			return true
		}
	}
	return false
}

// flow returns a workspace's state as of now.
func (s *Shares) flow(now time.Duration, workspace string) *shareFlow {
	f := s.flows[workspace]
	if f == nil {
		f = &shareFlow{updatedAt: now, credit: s.maxCredit()}
		s.flows[workspace] = f
	}
	s.decayTo(now, f)
	return f
}

func (s *Shares) decayTo(now time.Duration, f *shareFlow) {
	passed := now - f.updatedAt
	f.updatedAt = now
	f.demand = decayed(f.demand, passed)
	f.granted = decayed(f.granted, passed)
	f.served = decayed(f.served, passed)
	f.unread = decayed(f.unread, passed)
	remaining := math.Exp(-passed.Seconds() / continuedTimeConstant.Seconds())
	f.begun *= remaining
	f.continued *= remaining
	f.credit = min(f.credit+passed.Seconds()*s.shareRate(), s.maxCredit())
}

// decayed returns what remains of an average after the given time.
func decayed(value float64, passed time.Duration) float64 {
	return value * math.Exp(-passed.Seconds()/demandTimeConstant.Seconds())
}

// shareRate returns the level, or the whole capacity if there is no level.
func (s *Shares) shareRate() float64 { return min(s.level, s.capacityPerSecond) }

func (s *Shares) maxCredit() float64 { return s.shareRate() * shareBurstWindow.Seconds() }

// updateLevel computes the level at which the amounts that the workspaces get add up to
// the capacity.
func (s *Shares) updateLevel(now time.Duration) {
	if s.levelKnown && now-s.levelAt < levelInterval {
		return
	}
	s.levelKnown, s.levelAt = true, now
	demands := make([]float64, 0, len(s.flows))
	for name, f := range s.flows {
		if now-f.updatedAt > shareIdleTimeout {
			delete(s.flows, name)
			continue
		}
		demands = append(demands, decayed(f.demand, now-f.updatedAt)/demandTimeConstant.Seconds())
	}
	slices.Sort(demands)
	left := s.capacityPerSecond
	for i, demand := range demands {
		share := left / float64(len(demands)-i)
		if demand > share {
			s.level = share
			return
		}
		left -= demand
	}
	s.level = math.Inf(1)
}
