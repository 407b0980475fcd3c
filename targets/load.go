package targets

import "context"

const (
	// loadPath is where a target reports its load.
	loadPath = "/load"
	// loadPrefixesPath asks for the cached prefixes too. A target may leave
	// them out, and may send them unasked.
	loadPrefixesPath = loadPath + "?prefixes=1"
)

// Load implements Client. The report need not hold the cached prefixes.
func (c *HTTPClient) Load(ctx context.Context, address string) (Load, error) {
	return c.loadFrom(ctx, address, loadPath)
}

// LoadWithPrefixes polls a target's load report with its cached prefixes.
func (c *HTTPClient) LoadWithPrefixes(ctx context.Context, address string) (Load, error) {
	return c.loadFrom(ctx, address, loadPrefixesPath)
}
