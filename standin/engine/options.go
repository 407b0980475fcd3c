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

// Options configure an Engine. Zero values stand for the stated defaults.
type Options struct {
	// Name is the engine's name in the journal.
	Name string
	// Slots is the maximum number of requests that run at once. Default 8.
	Slots int
	// MaxQueued is the maximum number of requests that wait for a slot. Further
	// requests are refused without running. Zero means no limit.
	MaxQueued int
	// Step is the duration of one batch step, in which every running request gets
	// one token. Default 2 ms.
	Step time.Duration
	// PrefillTokensPerStep is how many tokens of a prompt, at four bytes each, one
	// step processes. Default 512.
	PrefillTokensPerStep int
	// PrefixEntries is the capacity of the cache of prompt prefixes. Default 64.
	PrefixEntries int
	// LoadLag is the interval at which the load report is refreshed. Zero means
	// that every report shows the current load.
	LoadLag time.Duration
	// PrefixGap is the probability, from 0 to 1, that a load report omits a cached
	// prefix.
	PrefixGap float64
	// Seed seeds the random choice of the omitted prefixes.
	Seed uint64
	// Resumes allows a broken stream to be resumed at a byte offset.
	Resumes bool
	// ResumeWindow is how long a run can be resumed after its stream broke or its
	// last token was generated. Default 5 s.
	ResumeWindow time.Duration
	// ChecksFencing refuses orders whose fencing number is lower than the highest
	// one received. Without it every order is carried out.
	ChecksFencing bool
	// LoadTime is how long a model takes to load. Zero means that it is loaded at
	// once.
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
