package managed

import "github.com/walnutcove/walnutcove/platform/wire"

// Names and values in the configuration that DemoConfig returns.
const (
	DemoHost      = "hooks.example"
	DemoKey       = "key-of-bakery"
	DemoWorkspace = "bakery"
	// DemoService and DemoEngine are the names of the plain service and the engine.
	DemoService = "ops"
	DemoEngine  = "gen"
	// Path prefixes of the routes: of a non-idempotent one, of an idempotent one
	// and of one for streams.
	DemoNonIdempotentPrefix = "/ops/"
	DemoIdempotentPrefix    = "/safe/"
	DemoStreamPrefix        = "/gen/"
)

// DemoConfig returns a small configuration: a plain service behind an idempotent and
// a non-idempotent route, and an engine behind a route for streams that can be
// resumed on another replica.
func DemoConfig(version uint64) wire.Config {
	route := func(name, prefix, kind, service string) wire.Route {
		return wire.Route{
			Name: name, Host: DemoHost, Prefix: prefix, Kind: kind, Service: service,
			Timeout: 10_000, Objective: 1000, EventPause: 250, Attempts: 2,
		}
	}
	stream := route("gen", DemoStreamPrefix, wire.Stream, DemoEngine)
	stream.Resumable = true
	return wire.Config{
		Version: version,
		Routes: []wire.Route{
			route("ops", DemoNonIdempotentPrefix, wire.NonIdempotent, DemoService),
			route("safe", DemoIdempotentPrefix, wire.Idempotent, DemoService),
			stream,
		},
		Services: []wire.Service{
			{Name: DemoService},
			{Name: DemoEngine, Engine: &wire.Engine{Slots: 8, MemoryTokens: 100_000, EventTokens: 1}},
		},
		Limits:  wire.Limits{TokensPerSecond: 1_000_000},
		Tenants: []wire.Tenant{{Name: DemoWorkspace, Keys: []string{DemoKey}}},
	}
}
