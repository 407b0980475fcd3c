package hedge

import (
	"time"

	"github.com/walnutcove/walnutcove/pipeline"
)

const (
	// minSilenceLimit is the shortest silence of a target after which another one is asked for.
	// Targets under load pause for a few hundred milliseconds; callers give up on a silent stream
	// after two seconds or more.
	minSilenceLimit = 1200 * time.Millisecond
	// pauseFactor allows a silence of at least this many times the longest pause that the route
	// still counts as on time.
	pauseFactor = 4
	// startFactor adds this many predicted start times to minSilenceLimit: predictions are rarely
	// wrong by a larger factor.
	startFactor = 3
	// lagFactor is how many times the router's own lag is added: an answer waits several times on
	// its way through a busy router.
	lagFactor = 10
)

// SilenceLimit returns for how long the target of an exchange on a route may be silent before another
// one is asked for. lag returns by how much this process lags behind; nil means that it never lags.
func SilenceLimit(ex *pipeline.Exchange, lag func() time.Duration) time.Duration {
	pauses := pauseFactor * time.Duration(ex.Route.PauseMillis) * time.Millisecond
	limit := max(minSilenceLimit+startFactor*ex.Placement.PredictedStart, pauses)
	if lag != nil {
		limit += lagFactor * lag()
	}
	return limit
}
