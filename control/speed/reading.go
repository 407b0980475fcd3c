// Package speed estimates how long work takes at the targets of a pool, from what the targets
// report with their responses.
package speed

// Reading is what a target reports about its load with a response.
type Reading struct {
	// Running and Waiting count the target's requests, and Slots is how many it runs at once.
	Running, Waiting, Slots int
	// Percent is how long work takes there at this moment, where 100 is usual; zero if the
	// target does not report it.
	Percent int
}

// HasSpeed reports whether the target reported its speed.
func (r Reading) HasSpeed() bool { return r.Percent > 0 }
