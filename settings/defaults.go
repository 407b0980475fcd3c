package settings

import (
	"time"

	"github.com/walnutcove/walnutcove/control"
	"github.com/walnutcove/walnutcove/control/policy"
)

// The kinds of platform.
const (
	KindOwn     = "own"
	KindManaged = "managed"
)

// The routers that may serve requests for an overloaded one.
const (
	// ExecutorsNone: no routers; offloading is disabled.
	ExecutorsNone = "none"
	// ExecutorsLarger: those of the same data centre with several times its cores.
	ExecutorsLarger = "larger"
	// ExecutorsAny: all of the same data centre whose cores are known.
	ExecutorsAny = "any"
)

// Defaults returns the settings of an empty file. Required keys are left empty.
func Defaults() Settings {
	return Settings{
		Platform: Platform{
			Timeout:     Duration(2 * time.Second),
			PollEvery:   Duration(time.Second),
			VMListEvery: Duration(2 * time.Second),

			FleetWritesPerSecond: 300,

			Kind:            KindOwn,
			ReadsPerSecond:  2000,
			WritesPerSecond: 400,
			ReturnGrace:     Duration(2 * time.Second),
			TargetHeartbeat: Duration(time.Second),
		},
		Scheduling: Scheduling{
			Policy:         string(control.PolicyShardQueue),
			HeartbeatEvery: Duration(500 * time.Millisecond),
			MemberTimeout:  Duration(2 * time.Second),
			PrefixLocality: true,
			ColdOvershoot:  1,
			Tokens:         policy.Default(),
		},
		Limits: Limits{
			MaxBodyBytes:     8 << 20,
			MaxHeldBytes:     256 << 20,
			MaxHeaderBytes:   16 << 10,
			ReadTimeout:      Duration(10 * time.Second),
			IdleTimeout:      Duration(60 * time.Second),
			DefaultDeadline:  Duration(30 * time.Second),
			FirstByteTimeout: Duration(60 * time.Second),
			StallTimeout:     Duration(30 * time.Second),
			DrainTimeout:     Duration(10 * time.Minute),
		},
		Retries: Retries{Ratio: 0.2, Slack: 50, Window: Duration(10 * time.Second)},
		Offload: Offload{Executors: ExecutorsNone},
		Log:     Log{Level: "info", Format: "text"},
	}
}
