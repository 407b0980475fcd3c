// Package quarantine finds requests that crash the targets which run them. It
// is pure: time comes in as an Instant, what must be told to other routers and
// to the guard filter comes out as an Output.
//
// Evidence is the set of fingerprints that were running on a target as it
// crashed. A fingerprint that was running on at least two different targets as
// they crashed is convicted if it alone explains these crashes; where several
// explain them equally well, each gets VerdictIsolate, and the next run of each
// alone tells them apart. A run to completion clears a fingerprint.
//
// Routers tell each other evidence, never verdicts: each judges by itself, and
// routers with the same evidence agree. One that knew only a part judges anew
// when it learns the rest.
//
// A broken connection is no crash. It counts once the target is known to have
// gone down or restarted (see Tracker.CrashConfirmed), so that a router which
// is cut off from its targets convicts nobody. A target that was only out of
// reach is found still running afterwards, and its crash is retracted (see
// Tracker.Alive).
package quarantine

import "time"

// Instant is a monotonic time; see control.Instant.
type Instant = time.Duration

// Verdict is what is held against a fingerprint.
type Verdict int

// The verdicts.
const (
	// VerdictClear: nothing.
	VerdictClear Verdict = iota
	// VerdictSuspect: it was running on one target as it crashed, and no
	// convicted fingerprint explains that. It should not share a target with
	// another suspect.
	VerdictSuspect
	// VerdictIsolate: it and others were running on the same two or more
	// targets as they crashed. It must not share a target with another suspect.
	VerdictIsolate
	// VerdictConvicted: it must not run anywhere.
	VerdictConvicted
)

// String returns the verdict's name.
func (v Verdict) String() string {
	switch v {
	case VerdictSuspect:
		return "suspect"
	case VerdictIsolate:
		return "isolate"
	case VerdictConvicted:
		return "convicted"
	default:
		return "clear"
	}
}

// Options configure a Tracker. Zero values take the stated defaults.
type Options struct {
	// EvidenceTTL is how long a crash counts. Default 15m.
	EvidenceTTL time.Duration
	// ConvictionTTL is how long a conviction lasts after the last crash. It is
	// raised to EvidenceTTL if shorter. Default 1h.
	ConvictionTTL time.Duration
	// ConfirmWindow is how far apart a broken connection and the news that the
	// target crashed may be, and how far apart two routers may place the same
	// crash. Default 10s.
	ConfirmWindow time.Duration
	// CompletionTTL is how long before a crash a run to completion still
	// clears. Default 1m.
	CompletionTTL time.Duration
	// MaxCrashes bounds the crashes held, and MaxRunning the fingerprints of
	// each. Defaults 256 and 1024.
	MaxCrashes int
	MaxRunning int
	// MaxCompletions bounds the completions remembered. Default 8192.
	MaxCompletions int
}

func (o Options) withDefaults() Options {
	setDefault(&o.EvidenceTTL, 15*time.Minute)
	setDefault(&o.ConvictionTTL, time.Hour)
	setDefault(&o.ConfirmWindow, 10*time.Second)
	setDefault(&o.CompletionTTL, time.Minute)
	setDefault(&o.MaxCrashes, 256)
	setDefault(&o.MaxRunning, 1024)
	setDefault(&o.MaxCompletions, 8192)
	o.ConvictionTTL = max(o.ConvictionTTL, o.EvidenceTTL)
	return o
}

// setDefault sets a field that was left zero.
func setDefault[T ~int | ~int64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// NoticeKind is what a Notice tells.
type NoticeKind int

// The kinds of notice.
const (
	// NoticeCrash tells of a target's crash and of what was running on it.
	NoticeCrash NoticeKind = iota + 1
	// NoticeClearance tells that a fingerprint ran to completion.
	NoticeClearance
	// NoticeRetraction tells that a target did not crash since Age ago.
	NoticeRetraction
)

// Notice carries evidence to other routers. Notices bear loss, doubling and
// reordering. They hold durations, never instants.
type Notice struct {
	Kind NoticeKind
	// Target belongs to NoticeCrash and NoticeRetraction, Running to NoticeCrash.
	Target  string
	Running []uint64
	// Fingerprint belongs to NoticeClearance.
	Fingerprint uint64
	// Age is how long ago the crash or completion was, or how long the target
	// has surely run.
	Age time.Duration
}

// Change is a new verdict on a fingerprint.
type Change struct {
	Fingerprint uint64
	Verdict     Verdict
}

// Output is what follows from a call.
type Output struct {
	// Notices are news for every other router.
	Notices []Notice
	// Changes are the verdicts that changed, by fingerprint.
	Changes []Change
}
