package sched

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// simulateDemand has workspaces request the given demands per second, in requests of 10,
// and returns how much of each was within its share, per second.
func simulateDemand(s *Shares, from, seconds int, demands []float64) []float64 {
	within := make([]float64, len(demands))
	asked := make([]float64, len(demands))
	const step = 10 * time.Millisecond
	start := time.Duration(from) * time.Second
	for now := start; now < start+time.Duration(seconds)*time.Second; now += step {
		for i, demand := range demands {
			for asked[i] += demand * step.Seconds(); asked[i] >= 10; asked[i] -= 10 {
				if s.Take(now, fmt.Sprint(i), 10) {
					within[i] += 10
				}
			}
		}
	}
	for i := range within {
		within[i] /= float64(seconds)
	}
	return within
}

// TestSharesAreMaxMin checks that small demands are entirely within their shares, and
// large ones up to one level at which the capacity is used up.
func TestSharesAreMaxMin(t *testing.T) {
	s := NewShares(1000)
	demands := []float64{100, 200, 900, 5000}
	simulateDemand(s, 0, 10, demands) // the first burst, before the level is known
	got := simulateDemand(s, 10, 60, demands)
	for i, want := range []float64{100, 200, 350, 350} {
		if math.Abs(got[i]-want) > 0.1*want {
			t.Errorf("workspace %d has %.0f of %.0f a second", i, got[i], want)
		}
	}
}

// TestNoBoundBelowCapacity checks that everything is within the shares while the total
// demand is below the capacity.
func TestNoBoundBelowCapacity(t *testing.T) {
	got := simulateDemand(NewShares(1000), 0, 20, []float64{100, 200, 600})
	for i, want := range []float64{100, 200, 600} {
		if got[i] < 0.98*want {
			t.Errorf("workspace %d has %.0f of %.0f a second", i, got[i], want)
		}
	}
}

// TestIdleWorkspaceCreditIsBounded checks that a workspace which was idle may use at
// most one burst at once.
func TestIdleWorkspaceCreditIsBounded(t *testing.T) {
	s := NewShares(1000)
	simulateDemand(s, 0, 20, []float64{0, 5000})
	burst := 0.0
	at := 20*time.Second + time.Millisecond
	for s.Take(at, "late", 10) {
		if burst += 10; burst > 2000 {
			break
		}
	}
	if burst > 1600 {
		t.Errorf("%.0f at once after an idle time", burst)
	}
}

// TestYieldsToTheLeastServed checks that spare capacity goes to a workspace that was
// refused and has been served much less.
func TestYieldsToTheLeastServed(t *testing.T) {
	s := NewShares(1000)
	s.Served(0, "large", 1000)
	s.Served(0, "small", 100)
	if s.Yields(0, "large", 0.7) {
		t.Error("yields though no workspace was refused")
	}
	s.Refused(0, "small")
	if !s.Yields(0, "large", 0.7) {
		t.Error("does not yield to a workspace that was refused")
	}
	if s.Yields(0, "small", 0.7) {
		t.Error("the least served workspace yields")
	}
	if s.Yields(2*time.Second, "large", 0.7) {
		t.Error("yields for an old refusal")
	}
}

// TestRisingDemandGainsNoCredit reproduces a load in which one workspace was served less
// than half of another for six seconds. The first always asks for more than it gets, the
// second begins to, and one second later targets crash, which leaves little capacity to
// share. The second had received little before, but it must have no claim for that:
// neither may be served less than half of the other, which is what callers are promised.
func TestRisingDemandGainsNoCredit(t *testing.T) {
	const (
		step          = 10 * time.Millisecond
		demandRisesAt = 6 * time.Second
		length        = 6 * time.Second
		amount        = 10.0
		// spare is the capacity per second beyond the shares, and rest what remains of
		// it after crashAt.
		spare   = 1000.0
		rest    = 250.0
		crashAt = demandRisesAt + time.Second
		// yieldPart is the default of the policy, and promised the least fraction of the
		// other's service.
		yieldPart = 0.7
		promised  = 0.5
	)
	s := NewShares(100)
	served := map[string]float64{}
	request := func(now time.Duration, workspace string, left *float64) {
		if s.Yields(now, workspace, yieldPart) || *left < amount {
			s.Refused(now, workspace)
			return
		}
		*left -= amount
		s.Served(now, workspace, amount)
		if now >= demandRisesAt {
			served[workspace] += amount
		}
	}
	left := 0.0
	for now := time.Duration(0); now < demandRisesAt+length; now += step {
		perSecond := spare
		if now >= crashAt {
			perSecond = rest
		}
		left = min(left+perSecond*step.Seconds(), 2*amount)
		for turn := range 6 {
			// Neither workspace comes first more often than the other.
			if workspace := [2]string{"first", "second"}[(turn+int(now/step))%2]; workspace == "first" || now >= demandRisesAt {
				request(now, workspace, &left)
			}
		}
	}
	if low := min(served["first"], served["second"]); low < promised*max(served["first"], served["second"]) {
		t.Errorf("first %.0f, second %.0f", served["first"], served["second"])
	}
}

// TestUnreadRefusalsCountAsDemand compares a workspace whose callers all use one small
// router, which has to refuse most of them unread, with one whose callers use all
// routers. The second must yield spare capacity to the first, but not if only a few of
// the first's requests are refused.
func TestUnreadRefusalsCountAsDemand(t *testing.T) {
	for _, c := range []struct {
		name string
		// unread is the number of requests refused unread for each one that is served.
		unread int
		yields bool
	}{
		{"most are refused unread", 4, true},
		{"few are refused unread", 0, false},
	} {
		s := NewShares(100)
		now := time.Duration(0)
		for range 200 {
			now += 10 * time.Millisecond
			for range 4 {
				s.Take(now, "by all", 10)
				s.Served(now, "by all", 10)
			}
			s.Take(now, "by one", 10)
			s.Served(now, "by one", 10)
			s.RefusedUnread(now, "by one", c.unread)
		}
		s.RefusedUnread(now, "by one", 1)
		if got := s.Yields(now, "by all", 0.7); got != c.yields {
			t.Errorf("%s: the other workspace yields: %v", c.name, got)
		}
		if s.Yields(now, "by one", 0.7) {
			t.Errorf("%s: the refused workspace yields", c.name)
		}
		// From here on only the workspace that uses all routers sends requests.
		for end := now + 5*time.Second; now < end; now += 10 * time.Millisecond {
			s.Take(now, "by all", 10)
			s.Served(now, "by all", 10)
		}
		if s.Yields(now, "by all", 0.7) {
			t.Errorf("%s: yields for old refusals", c.name)
		}
	}
}

// TestUnreadRefusalsLowerTheLevel guards against shares that are worked out from what routers
// let through: a workspace that they refuse unread raises the shares of the others by what it
// cannot use, up to no limit, and requests within a share never yield.
func TestUnreadRefusalsLowerTheLevel(t *testing.T) {
	for _, c := range []struct {
		name string
		// unread is the number of requests refused unread for each one that is served.
		unread int
		// want is what the other workspace has within its share, per second.
		want float64
	}{
		{"most are refused unread", 9, 500},
		{"none is refused unread", 0, 800},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewShares(1000)
			const step, seconds = 10 * time.Millisecond, 20
			within := 0.0
			for now := time.Duration(0); now < seconds*time.Second; now += step {
				if s.Take(now, "by all", 8) && now >= seconds/2*time.Second {
					within += 8
				}
				s.Served(now, "by all", 8)
				s.Take(now, "by one", 1)
				s.Served(now, "by one", 1)
				s.RefusedUnread(now, "by one", c.unread)
			}
			if got := within / (seconds / 2); math.Abs(got-c.want) > 0.1*c.want {
				t.Errorf("the other workspace has %.0f a second within its share, want %.0f", got, c.want)
			}
		})
	}
}

// TestUnreadRefusalsGainNoCredit checks that a workspace whose requests routers begin to
// refuse unread counts as served like the least served of the others that want more, as
// does one that is refused here. It has no claim for the time before.
func TestUnreadRefusalsGainNoCredit(t *testing.T) {
	s := NewShares(100)
	s.Served(0, "first", 1000)
	s.Refused(0, "first")
	s.Take(0, "second", 10)
	s.Served(0, "second", 10)
	s.RefusedUnread(0, "second", 4)
	if s.Yields(0, "first", 0.7) {
		t.Error("the first yields for capacity that the second did not ask for before")
	}
	s.Served(0, "first", 1000)
	if !s.Yields(0, "first", 0.7) {
		t.Error("the first does not yield for what it was served since")
	}
}

// TestRefundedShareIsUsed has three of four requests within a workspace's share refunded
// because they cannot be placed. The workspace must still be served at least
// behindShareRatio of its share.
func TestRefundedShareIsUsed(t *testing.T) {
	const (
		capacity, demand, amount = 1000.0, 5000.0, 10.0
		seconds                  = 30
		step                     = 2 * time.Millisecond // the time between two requests of each workspace
	)
	s := NewShares(capacity)
	served := map[string]float64{}
	serve := func(now time.Duration, workspace string) {
		served[workspace] += amount
		s.Served(now, workspace, amount)
	}
	tries := 0
	for now := time.Duration(0); now < seconds*time.Second; now += step {
		if s.Take(now, "placed", amount) {
			serve(now, "placed")
		}
		if !s.Take(now, "crowded", amount) {
			continue
		}
		if tries++; tries%4 != 0 {
			s.Refund(now, "crowded", amount)
			continue
		}
		serve(now, "crowded")
	}
	const share = capacity / 2
	if got := served["crowded"] / seconds; got < behindShareRatio*share {
		t.Errorf("%.0f of a share of %.0f per second, the other workspace has %.0f", got, share, served["placed"]/seconds)
	}
}
