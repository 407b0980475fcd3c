package sched

import (
	"math"
	"slices"
	"time"
)

const (
	// demandTime is the time constant of the average of what a workspace asks for.
	// Shorter follows a burst sooner, and takes chance for demand.
	demandTime = 1500 * time.Millisecond
	// shareBurst is how much of its share a workspace may use at once after it
	// asked for less.
	shareBurst = 1500 * time.Millisecond
	// levelEvery is the period of working out the level anew.
	levelEvery = 100 * time.Millisecond
	// refusedTime is how long a refusal counts as a sign that a workspace could use
	// more capacity.
	refusedTime = time.Second
	// sizeWeight is the weight of a request in the average of what one asks for: some
	// twenty of them count, as requests of a workspace differ by ten times.
	sizeWeight = 0.05
	// behindPart is the part of its share below which a workspace is behind it. Chance alone
	// keeps some below their share for a while.
	behindPart = 0.7
	// forgetShare is how long a workspace that asks for nothing is remembered.
	forgetShare = 30 * time.Second
)

// Shares says which requests lie within their workspace's max-min share of a
// pool's capacity: each workspace gets what it asks for up to one level that is
// the same for all, and the level is where the capacity is used up. What is
// asked beyond may be served from spare capacity, but must not make others late.
type Shares struct {
	perSecond float64
	flows     map[string]*shareFlow
	level     float64
	levelAt   time.Duration
	known     bool
}

// shareFlow is what one workspace asks for and may use.
type shareFlow struct {
	// asked decays with demandTime; divided by it, it is the demand a second.
	asked float64
	// granted decays like asked, and counts what the workspace was granted.
	granted float64
	// served is granted, and what the workspace counts as served beside that: it is what
	// workspaces are compared by.
	served float64
	// size is about how much one of its requests asks for, and unread, which decays like
	// granted, what those asked for that routers refused unread.
	size   float64
	unread float64
	// credit is what the workspace may use at once.
	credit float64
	at     time.Duration
	// refusedAt is when a request was last refused for want of capacity; refused says
	// that one was.
	refusedAt time.Duration
	refused   bool
	// unreadAt is when routers last refused some unread.
	unreadAt time.Duration
}

// NewShares returns shares of a capacity per second; zero: there is no bound.
func NewShares(perSecond float64) *Shares {
	return &Shares{perSecond: perSecond, flows: make(map[string]*shareFlow), level: math.Inf(1)}
}

// Declare changes the capacity.
func (s *Shares) Declare(perSecond float64) { s.perSecond = perSecond }

// Level is the share per second of each workspace that asks for more.
func (s *Shares) Level() float64 { return s.level }

// Ask counts a request and says whether it lies within its workspace's share. The
// share is used up by requests that do.
func (s *Shares) Ask(now time.Duration, workspace string, amount float64) bool {
	if s.perSecond <= 0 {
		return true
	}
	f := s.flow(now, workspace)
	f.asked += amount
	f.sized(amount)
	s.findLevel(now)
	if math.IsInf(s.level, 1) {
		return true
	}
	if f.credit <= 0 {
		return false
	}
	f.credit -= amount
	return true
}

// Return gives back what a request within its workspace's share took of it, as it is not served,
// if the workspace is behind its share: what cannot be placed must not cost it what it is owed.
// Others have their share with what else they are granted, and more requests within it would only
// wait for one another until they are late.
func (s *Shares) Return(now time.Duration, workspace string, amount float64) {
	f := s.flow(now, workspace)
	if f.granted < behindPart*s.bounded()*demandTime.Seconds() {
		f.credit = min(f.credit+amount, s.burst())
	}
}

// HasLeft says whether a workspace has not used up its share.
func (s *Shares) HasLeft(now time.Duration, workspace string) bool {
	if s.perSecond <= 0 || math.IsInf(s.level, 1) {
		return true
	}
	return s.flow(now, workspace).credit > 0
}

// Served counts a request that is granted.
func (s *Shares) Served(now time.Duration, workspace string, amount float64) {
	f := s.flow(now, workspace)
	f.granted += amount
	f.served += amount
}

// Refused notes that a request was refused for want of capacity.
func (s *Shares) Refused(now time.Duration, workspace string) {
	f := s.flow(now, workspace)
	wanted := f.wants(now)
	f.refused, f.refusedAt = true, now
	s.turnedHot(now, f, wanted)
}

// Unread notes that routers refused requests of a workspace before they read them. If
// that exceeds what it was granted, the routers are its bottleneck, and others yield to it as
// to one that is refused here. A few refused requests have no effect, as their retries are
// served through other routers.
func (s *Shares) Unread(now time.Duration, workspace string, count int) {
	f := s.flow(now, workspace)
	wanted := f.wants(now)
	f.unread += float64(count) * f.size
	f.unreadAt = now
	s.turnedHot(now, f, wanted)
}

// turnedHot raises the served amount of a workspace that begins to want more capacity to that
// of the least served of the others that do. Capacity that it did not use before must not give
// it precedence over workspaces that were refused meanwhile.
func (s *Shares) turnedHot(now time.Duration, f *shareFlow, wanted bool) {
	if wanted || !f.wants(now) {
		return
	}
	f.served = max(f.served, s.leastServed(now, f))
}

// wants says whether the workspace could use more capacity than it gets.
func (f *shareFlow) wants(now time.Duration) bool {
	refusedHere := f.refused && now-f.refusedAt <= refusedTime
	refusedUnread := f.unread > f.granted && now-f.unreadAt <= refusedTime
	return refusedHere || refusedUnread
}

// sized takes in how much a request asks for.
func (f *shareFlow) sized(amount float64) {
	if f.size == 0 {
		f.size = amount
	}
	f.size += sizeWeight * (amount - f.size)
}

// leastServed is the least that another workspace which could use more has been served;
// zero if there is none.
func (s *Shares) leastServed(now time.Duration, but *shareFlow) float64 {
	least, found := 0.0, false
	for _, f := range s.flows {
		if f == but || !f.wants(now) {
			continue
		}
		if served := decayed(f.served, now-f.at); !found || served < least {
			least, found = served, true
		}
	}
	return least
}

// Yields says whether a workspace is to leave spare capacity to another one that
// was refused of late and has been served less than the given part of what it has.
func (s *Shares) Yields(now time.Duration, workspace string, part float64) bool {
	mine := s.flow(now, workspace).served
	for name, f := range s.flows {
		if name == workspace || !f.wants(now) {
			continue
		}
		// The flow is left as it is: the order of the map must not show in its figures.
		if decayed(f.served, now-f.at) < part*mine {
			return true
		}
	}
	return false
}

// flow returns a workspace's state as of now.
func (s *Shares) flow(now time.Duration, workspace string) *shareFlow {
	f := s.flows[workspace]
	if f == nil {
		f = &shareFlow{at: now, credit: s.burst()}
		s.flows[workspace] = f
	}
	s.advance(now, f)
	return f
}

func (s *Shares) advance(now time.Duration, f *shareFlow) {
	passed := now - f.at
	f.at = now
	f.asked = decayed(f.asked, passed)
	f.granted = decayed(f.granted, passed)
	f.served = decayed(f.served, passed)
	f.unread = decayed(f.unread, passed)
	f.credit = min(f.credit+passed.Seconds()*s.bounded(), s.burst())
}

// decayed is what is left of an average some time later.
func decayed(value float64, passed time.Duration) float64 {
	return value * math.Exp(-passed.Seconds()/demandTime.Seconds())
}

// bounded is the level, or the whole capacity where there is no level.
func (s *Shares) bounded() float64 { return min(s.level, s.perSecond) }

func (s *Shares) burst() float64 { return s.bounded() * shareBurst.Seconds() }

// findLevel works out the level by which what the workspaces get adds up to the
// capacity.
func (s *Shares) findLevel(now time.Duration) {
	if s.known && now-s.levelAt < levelEvery {
		return
	}
	s.known, s.levelAt = true, now
	demands := make([]float64, 0, len(s.flows))
	for name, f := range s.flows {
		if now-f.at > forgetShare {
			delete(s.flows, name)
			continue
		}
		demands = append(demands, decayed(f.asked, now-f.at)/demandTime.Seconds())
	}
	slices.Sort(demands)
	left := s.perSecond
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
