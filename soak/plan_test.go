package soak

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
	"github.com/walnutcove/walnutcove/standin/managed"
)

const (
	// secondPlain and secondEngine are services that routes share with the first ones in a run
	// with planned work alone, with secondReplicas replicas each.
	secondPlain, secondEngine = "ops-b", "gen-b"
	secondReplicas            = 2
	// prefixMore is the prefix, and pathMore a path, of a route that versions add and remove.
	prefixMore = "/more/"
	pathMore   = prefixMore + "page"
	// prefixOnce is the prefix, and pathOnce a path, of a route for streams that may not be
	// resumed.
	prefixOnce = "/once/"
	pathOnce   = prefixOnce + "page"
	// applyTime is how long after it was written a version may not yet be in force.
	applyTime = 2 * time.Second
)

// plan holds what versions change in a run with planned work alone.
type plan struct {
	// timeout is in milliseconds, as is idle, how long connections may be idle.
	timeout, idle   float64
	attempts        int
	weights         [2]float64
	tokensPerSecond float64
	hasMore         bool
}

// document is a configuration with the limits that routers do not read.
type document struct {
	wire.Config
	Limits struct {
		wire.Limits
		Idle float64 `json:"idle_timeout_ms"`
	} `json:"limits"`
}

func newPlan() *plan {
	return &plan{timeout: 10_000, idle: 10_000, attempts: 2, weights: [2]float64{1, 1}, tokensPerSecond: 1_000_000, hasMore: true}
}

// change makes a random change and returns its kind.
func (p *plan) change(random *rand.Rand) string {
	switch random.IntN(6) {
	case 0:
		p.timeout = []float64{5_000, 7_000, 10_000}[random.IntN(3)]
		return "limits"
	case 1:
		p.attempts = 2 + random.IntN(2)
		return "attempts"
	case 2:
		p.hasMore = !p.hasMore
		return "routes"
	case 3:
		p.weights = [][2]float64{{1, 1}, {3, 1}, {1, 0}, {0, 1}}[random.IntN(4)]
		return "weights"
	case 4:
		p.tokensPerSecond = []float64{100_000, 1_000_000, 5_000_000}[random.IntN(3)]
		return "quotas"
	default:
		p.idle = []float64{2_000, 10_000, 60_000}[random.IntN(3)]
		return "idle times"
	}
}

// apply returns a configuration as the plan changes it.
func (p *plan) apply(c wire.Config) document {
	second := map[string]string{managed.DemoService: secondPlain, managed.DemoEngine: secondEngine}
	for _, service := range slices.Clone(c.Services) {
		service.Name = second[service.Name]
		c.Services = append(c.Services, service)
	}
	more := c.Routes[slices.IndexFunc(c.Routes, func(r wire.Route) bool { return r.Prefix == managed.DemoStreamPrefix })]
	once := more
	once.Name, once.Prefix, once.Resumable = "once", prefixOnce, false
	c.Routes = append(c.Routes, once)
	if p.hasMore {
		more.Name, more.Prefix = "more", prefixMore
		c.Routes = append(c.Routes, more)
	}
	for n := range c.Routes {
		r := &c.Routes[n]
		r.Timeout, r.Attempts = p.timeout, p.attempts
		r.Split = []wire.Share{{Service: r.Service, Weight: p.weights[0]}, {Service: second[r.Service], Weight: p.weights[1]}}
	}
	d := document{Config: c}
	d.Limits.TokensPerSecond, d.Limits.Idle = p.tokensPerSecond, p.idle
	return d
}

// published is what a version that was written says of all routes.
type published struct {
	at       time.Time
	timeout  time.Duration
	attempts int
}

func (f *fleet) recordPublished(c wire.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	route := c.Routes[0]
	f.published = append(f.published, published{at: time.Now(), timeout: time.Duration(route.Timeout) * time.Millisecond, attempts: route.Attempts})
}

// limitsBetween returns the shortest time limit and the most attempts of the versions that may
// have been in force between two moments.
func (f *fleet) limitsBetween(from, to time.Time) (timeout time.Duration, attempts int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n, p := range f.published {
		if p.at.After(to) || n+1 < len(f.published) && f.published[n+1].at.Add(applyTime).Before(from) {
			continue
		}
		if timeout == 0 || p.timeout < timeout {
			timeout = p.timeout
		}
		attempts = max(attempts, p.attempts)
	}
	return timeout, attempts
}

// isStream reports whether answers on a path are streams.
func isStream(path string) bool {
	return slices.ContainsFunc([]string{managed.DemoStreamPrefix, prefixMore, prefixOnce}, func(prefix string) bool { return strings.HasPrefix(path, prefix) })
}
