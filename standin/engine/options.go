package engine

import "time"

// Defaults of Options.
const (
	DefaultSlots                = 8
	DefaultStep                 = 2 * time.Millisecond
	DefaultPrefillTokensPerStep = 512
	DefaultPrefixEntries        = 64
	DefaultResumeWindow         = 5 * time.Second
)

// Options configure an Engine. Zero values take the stated defaults.
type Options struct {
	// Name is the target's name in the journal.
	Name string
	// Slots is how many requests run at once. Default 8.
	Slots int
	// MaxQueued bounds the requests waiting for a slot; past it a request is
	// refused before running. Zero means no bound.
	MaxQueued int
	// Step is the time in which every running request gets one token. Default 2 ms.
	Step time.Duration
	// PrefillTokensPerStep is how much of a prompt one step reads, at four
	// bytes a token. Default 512.
	PrefillTokensPerStep int
	// PrefixEntries bounds the cache of prompt prefixes. Default 64.
	PrefixEntries int
	// LoadLag is the period at which the load report is renewed. Zero means
	// that every report is fresh.
	LoadLag time.Duration
	// PrefixGap is the probability, from 0 to 1, that a load report leaves out
	// a cached prefix.
	PrefixGap float64
	// Seed seeds the choice of the prefixes left out.
	Seed uint64
	// Resumes lets a broken stream be resumed by offset.
	Resumes bool
	// ResumeWindow is how long a broken run can be resumed. Default 5 s.
	ResumeWindow time.Duration
	// ChecksFencing refuses orders whose fencing number is lower than the
	// highest seen. Otherwise every order is taken.
	ChecksFencing bool
	// LoadTime is how long a model takes to load. Zero: it is there at once.
	LoadTime time.Duration
}

func (o Options) withDefaults() Options {
	if o.Slots <= 0 {
		o.Slots = DefaultSlots
	}
	if o.Step <= 0 {
		o.Step = DefaultStep
	}
	if o.PrefillTokensPerStep <= 0 {
		o.PrefillTokensPerStep = DefaultPrefillTokensPerStep
	}
	if o.PrefixEntries <= 0 {
		o.PrefixEntries = DefaultPrefixEntries
	}
	if o.ResumeWindow <= 0 {
		o.ResumeWindow = DefaultResumeWindow
	}
	return o
}
