// Package quarantine finds requests that crash the targets which run them. It does no
// I/O and reads no clock: time is passed in as an Instant, and what is to be sent
// to other routers and the guard filter is returned as an Output.
//
// The evidence of a crash is the set of fingerprints that were running on the target. A
// fingerprint that was running at crashes of at least two different targets is convicted
// if it alone explains these crashes. If several explain them equally well, each gets
// VerdictIsolate, and the next run of each without the others shows which one is the
// cause. A run to completion clears a fingerprint.
//
// Routers exchange evidence, never verdicts: each computes the verdicts itself, and
// routers with the same evidence agree. A router that knew only a part recomputes the
// verdicts when it learns the rest.
//
// A broken connection is not a crash. It counts once the target is known to have gone
// down or restarted (see Tracker.CrashConfirmed), so a router that is cut off from its
// targets convicts no fingerprint. If a target was only unreachable, it is later found
// still running, and its crash is retracted (see Tracker.StillRunning).
package quarantine

import "time"

// Instant is a monotonic time; see control.Instant.
type Instant = time.Duration

// Verdict is the assessment of one fingerprint.
type Verdict int

// The verdicts, from harmless to blocked.
const (
	// VerdictClear: nothing is known against it.
	VerdictClear Verdict = iota
	// VerdictSuspect: it was running at a crash of one target, and no convicted
	// fingerprint explains that crash. It should not share a target with another
	// suspect.
	VerdictSuspect
	// VerdictIsolate: it and others were running at the same crashes of two or more
	// targets. It must not share a target with another suspect.
	VerdictIsolate
	// VerdictConvicted: it must not run on any target.
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

// Options configure a Tracker. Fields that are zero have the stated defaults.
type Options struct {
	// EvidenceTTL is how long a crash counts. Default 15m.
	EvidenceTTL time.Duration
	// ConvictionTTL is how long a conviction lasts after the last crash. It is raised to
	// EvidenceTTL if shorter. Default 1h.
	ConvictionTTL time.Duration
	// ConfirmWindow is the longest time between a broken connection and the report that
	// the target crashed, and between the times that two routers give for the same
	// crash. Default 10s.
	ConfirmWindow time.Duration
	// CompletionTTL is how long before a crash a run to completion still clears a
	// fingerprint. Default 1m.
	CompletionTTL time.Duration
	// MaxCrashes bounds the number of crashes held, and MaxRunning the fingerprints of
	// each. Defaults 256 and 1024.
	MaxCrashes int
	MaxRunning int
	// MaxCompletions bounds the number of completions held. Default 8192.
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

// setDefault sets a field that is zero.
func setDefault[T ~int | ~int64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// NoticeKind is the kind of evidence in a Notice.
type NoticeKind int

// The kinds of notice.
const (
	// NoticeCrash reports a target's crash and what was running on it.
	NoticeCrash NoticeKind = iota + 1
	// NoticeClearance reports that a fingerprint ran to completion.
	NoticeClearance
	// NoticeRetraction reports that a target has not crashed in the last Age.
	NoticeRetraction
)

// Notice carries evidence to other routers. Notices may be lost, duplicated or
// reordered. They contain durations, never instants, as routers do not share a clock.
type Notice struct {
	Kind NoticeKind
	// Target is set in NoticeCrash and NoticeRetraction, Running in NoticeCrash.
	Target  string
	Running []uint64
	// Fingerprint is set in NoticeClearance.
	Fingerprint uint64
	// Age is the time since the crash or completion, or how long the target is known to
	// have run.
	Age time.Duration
}

// Change is a new verdict on a fingerprint.
type Change struct {
	Fingerprint uint64
	Verdict     Verdict
}

// Output is the result of a call to a Tracker.
type Output struct {
	// Notices have to be sent to every other router.
	Notices []Notice
	// Changes holds the verdicts that changed, in order of fingerprint.
	Changes []Change
}
