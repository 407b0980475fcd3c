// Package policy holds the weights and limits by which requests for targets that count
// their work in tokens are placed, ordered and refused. They are one value with one
// default, so that an experiment changes settings and not code.
//
// Where possible, weights are fractions of observed quantities (objectives, reading
// times), so that they fit fast and slow targets alike. Absolute values are an
// operator's decision on the relative worth of two things.
package policy

// Tokens is the policy for pools that count work in tokens.
type Tokens struct {
	// WaitPart is the fraction of the pool's shortest objective, in seconds per second,
	// that reading a target's unread prompts may take. The rest is for the request's own
	// prompt, and for the chunks of other prompts that targets read in between.
	WaitPart float64 `toml:"wait_part"`
	// KeeperPart is the factor by which the wait may be longer at a target that has
	// the shared parts of a prompt cached: a longer queue there costs less than reading them
	// again.
	KeeperPart float64 `toml:"keeper_part"`
	// TimelyPart is the fraction of the time left to the objective that a predicted
	// start may take and still count as in time. Predictions are off by about the rest.
	TimelyPart float64 `toml:"timely_part"`
	// RereadPart is the cost of reading shared parts again, in seconds per second of
	// reading, in addition to the reading time itself: other requests wait for it too.
	RereadPart float64 `toml:"reread_part"`
	// FetchPart is the same cost for fetching them from another target.
	FetchPart float64 `toml:"fetch_part"`
	// HomeMillis is added to the predicted start, in milliseconds, at targets other than
	// the one that rendezvous hashing assigns to the shared parts, if no target has
	// them cached. It makes schedulers that know nothing of each other choose the same target.
	HomeMillis float64 `toml:"home_millis"`
	// FarMillis is added to the predicted start, in milliseconds, at targets outside the
	// entry's data centre, as operators pay for traffic between data centres.
	FarMillis float64 `toml:"far_millis"`

	// ExcessWaitPart is the fraction of its objective that a request beyond its
	// workspace's share may wait for spare capacity.
	ExcessWaitPart float64 `toml:"excess_wait_part"`
	// Excess limits the requests beyond their workspace's share, and Returning those
	// that were refused and are sent again.
	Excess    SpareLimit `toml:"excess"`
	Returning SpareLimit `toml:"returning"`
	// ReturnWaitMillis is how long a request that is sent again may wait for capacity.
	// Its objective has passed, and its caller waits only a few seconds more.
	ReturnWaitMillis float64 `toml:"return_wait_millis"`
	// YieldPart is the fraction of one workspace's service below which another one must
	// have been served for the first to yield spare capacity to it. It is below 1 so
	// that random variation does not make workspaces alternate.
	YieldPart float64 `toml:"yield_part"`

	// Pace limits the reading of targets for the sake of answers in progress.
	Pace Pace `toml:"pace"`

	// The following fields switch mechanisms off, to measure the effect of each.

	// NoShares treats every request as within its workspace's share.
	NoShares bool `toml:"no_shares"`
	// NoYield gives spare capacity to the first request that asks for it.
	NoYield bool `toml:"no_yield"`
	// NoReturning treats requests that are sent again after a refusal as new ones.
	NoReturning bool `toml:"no_returning"`
	// NoFetch has shared parts read again instead of fetched.
	NoFetch bool `toml:"no_fetch"`
	// NoKept places requests without regard to which parts targets have cached.
	NoKept bool `toml:"no_kept"`
	// NoLearning keeps predictions at their initial values.
	NoLearning bool `toml:"no_learning"`
	// NoPace lets targets read without regard to the ends of their answers.
	NoPace bool `toml:"no_pace"`
	// NoSpeed assumes that all targets of a pool are equally fast.
	NoSpeed bool `toml:"no_speed"`
}

// SpareLimit bounds how much of a target the requests of one rank may use: as fractions
// of its slots, and of the wait that its unread prompts may cause. The rest is left to
// higher ranks.
type SpareLimit struct {
	Slots float64 `toml:"slots"`
	Wait  float64 `toml:"wait"`
}

// Pace limits for how much of its time a target reads prompts, so that the answers that it is
// generating end before their deadlines.
type Pace struct {
	// OverrunPart is the expected rest of an answer that is longer than its caller stated, as a
	// fraction of what has been generated.
	OverrunPart float64 `toml:"overrun_part"`
	// MinReadPart is the fraction of its time that a target may read in any case.
	MinReadPart float64 `toml:"min_read_part"`
	// LimitPart is the cost of limiting the reading of a target, in seconds per second of
	// reading that is lost until the answer's deadline.
	LimitPart float64 `toml:"limit_part"`
	// BurstMillis is the reading time, in milliseconds, that a target may be granted at once beyond
	// what it may read continuously.
	BurstMillis float64 `toml:"burst_millis"`
	// OthersPart is the fraction of this burst for requests that do not limit the reading
	// themselves. The rest is left to those that do.
	OthersPart float64 `toml:"others_part"`
}

// Default returns the policy that applies unless settings change it.
func Default() Tokens {
	return Tokens{
		WaitPart:         0.25,
		KeeperPart:       2.5,
		TimelyPart:       0.7,
		RereadPart:       2.5,
		FetchPart:        3,
		HomeMillis:       30,
		FarMillis:        25,
		ExcessWaitPart:   0.4,
		Excess:           SpareLimit{Slots: 0.75, Wait: 0.8},
		Returning:        SpareLimit{Slots: 0.33, Wait: 0.15},
		ReturnWaitMillis: 50,
		YieldPart:        0.7,
		Pace:             Pace{OverrunPart: 0.2, MinReadPart: 0.65, LimitPart: 2.5, BurstMillis: 2000, OthersPart: 0.2},
	}
}

// Bound is a value of a policy with its permitted range.
type Bound struct {
	// Key is the settings key, relative to the section of the policy.
	Key             string
	Value, Min, Max float64
}

// Bounds lists the values of a policy with their bounds.
func (t Tokens) Bounds() []Bound {
	const maxValue = 1000
	return []Bound{
		{"wait_part", t.WaitPart, 0.01, 1},
		{"keeper_part", t.KeeperPart, 1, maxValue},
		{"timely_part", t.TimelyPart, 0.01, 1},
		{"reread_part", t.RereadPart, 0, maxValue},
		{"fetch_part", t.FetchPart, 0, maxValue},
		{"home_millis", t.HomeMillis, 0, maxValue},
		{"far_millis", t.FarMillis, 0, maxValue},
		{"excess_wait_part", t.ExcessWaitPart, 0, 1},
		{"excess.slots", t.Excess.Slots, 0, 1},
		{"excess.wait", t.Excess.Wait, 0, 1},
		{"returning.slots", t.Returning.Slots, 0, 1},
		{"returning.wait", t.Returning.Wait, 0, 1},
		{"return_wait_millis", t.ReturnWaitMillis, 0, maxValue},
		{"yield_part", t.YieldPart, 0, 1},
		{"pace.overrun_part", t.Pace.OverrunPart, 0, maxValue},
		{"pace.min_read_part", t.Pace.MinReadPart, 0.01, 1},
		{"pace.limit_part", t.Pace.LimitPart, 0, maxValue},
		{"pace.burst_millis", t.Pace.BurstMillis, 0, 1000 * maxValue},
		{"pace.others_part", t.Pace.OthersPart, 0, 1},
	}
}
