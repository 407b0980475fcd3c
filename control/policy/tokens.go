// Package policy holds the weights and limits by which requests for targets that
// count their work in tokens are placed, ordered and refused: one value, with one
// default, so that an experiment changes settings and not code.
//
// Weights are parts of what is observed (objectives, times to read) wherever that is
// possible, so that they hold on fast and slow targets alike. What is absolute is an
// operator's choice of what one thing is worth against another.
package policy

// Tokens is the policy for pools that count in tokens.
type Tokens struct {
	// WaitPart is the part of the pool's tightest objective that a target's unread
	// prompts may take. The rest is for a request's own prompt, and for the pieces
	// of others that targets read in between. Part of a second per second.
	WaitPart float64 `toml:"wait_part"`
	// KeeperPart is how many times longer the wait may be at a target that keeps the
	// shared parts of a prompt: a deeper queue there costs less than reading again.
	KeeperPart float64 `toml:"keeper_part"`
	// TimelyPart is the part of what is left of the objective that a predicted start
	// may take to count as timely: predictions are off by about the rest.
	TimelyPart float64 `toml:"timely_part"`
	// RereadPart is what a second of reading shared parts again counts for, besides
	// the time itself: others wait for it too. In seconds.
	RereadPart float64 `toml:"reread_part"`
	// FetchPart is the same for a second of fetching them from another target.
	FetchPart float64 `toml:"fetch_part"`
	// HomeMillis is added at targets that rendezvous hashing does not give the shared
	// parts to, where no target keeps them: schedulers that know nothing of each other
	// agree so. In milliseconds of start.
	HomeMillis float64 `toml:"home_millis"`
	// FarMillis is what a data centre other than the entry's counts for, as operators
	// pay for what crosses. In milliseconds of start.
	FarMillis float64 `toml:"far_millis"`

	// ExcessWaitPart is the part of its objective that a request beyond its
	// workspace's share may wait for spare capacity.
	ExcessWaitPart float64 `toml:"excess_wait_part"`
	// Excess and Returning bound what is left to requests beyond their share, and to
	// those that were refused and come back.
	Excess    Spare `toml:"excess"`
	Returning Spare `toml:"returning"`
	// ReturnWaitMillis is how long one that came back may wait for it: its objective
	// has passed, and its caller waits only some seconds more.
	ReturnWaitMillis float64 `toml:"return_wait_millis"`
	// YieldPart is how much less another workspace must have been served for one to
	// yield spare capacity to it. Below 1, so that chance does not make workspaces
	// take turns.
	YieldPart float64 `toml:"yield_part"`

	// What follows switches mechanisms off, to measure what each is worth.

	// NoShares treats every request as within its workspace's share.
	NoShares bool `toml:"no_shares"`
	// NoYield gives spare capacity to who asks first.
	NoYield bool `toml:"no_yield"`
	// NoReturning serves what comes back after a refusal as if it were new.
	NoReturning bool `toml:"no_returning"`
	// NoFetch has shared parts read again rather than fetched.
	NoFetch bool `toml:"no_fetch"`
	// NoKept places without regard to what targets keep.
	NoKept bool `toml:"no_kept"`
	// NoLearning keeps predictions at their first figures.
	NoLearning bool `toml:"no_learning"`
	// NoSpeed takes all targets of a pool as equally fast.
	NoSpeed bool `toml:"no_speed"`
}

// Spare is how much of a target requests of a rank may use: parts of its slots, and
// of the wait that unread prompts may make. The rest is kept for ranks before it.
type Spare struct {
	Slots float64 `toml:"slots"`
	Wait  float64 `toml:"wait"`
}

// Default returns the policy that is used where nothing else is set.
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
		Excess:           Spare{Slots: 0.75, Wait: 0.8},
		Returning:        Spare{Slots: 0.33, Wait: 0.15},
		ReturnWaitMillis: 50,
		YieldPart:        0.7,
	}
}

// Bound is a value with what it may lie between.
type Bound struct {
	// Key is the setting, below the section of the policy.
	Key                string
	Value, Least, Most float64
}

// Bounds lists the values of a policy with their bounds.
func (t Tokens) Bounds() []Bound {
	const largest = 1000
	return []Bound{
		{"wait_part", t.WaitPart, 0.01, 1},
		{"keeper_part", t.KeeperPart, 1, largest},
		{"timely_part", t.TimelyPart, 0.01, 1},
		{"reread_part", t.RereadPart, 0, largest},
		{"fetch_part", t.FetchPart, 0, largest},
		{"home_millis", t.HomeMillis, 0, largest},
		{"far_millis", t.FarMillis, 0, largest},
		{"excess_wait_part", t.ExcessWaitPart, 0, 1},
		{"excess.slots", t.Excess.Slots, 0, 1},
		{"excess.wait", t.Excess.Wait, 0, 1},
		{"returning.slots", t.Returning.Slots, 0, 1},
		{"returning.wait", t.Returning.Wait, 0, 1},
		{"return_wait_millis", t.ReturnWaitMillis, 0, largest},
		{"yield_part", t.YieldPart, 0, 1},
	}
}
