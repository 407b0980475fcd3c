package targets

import "context"

const (
	// loadPath is the path of a target's load report.
	loadPath = "/load"
	// loadPrefixesPath requests the cached prefixes as well. A target may leave them out, and
	// may send them unrequested.
	loadPrefixesPath = loadPath + "?prefixes=1"
)

// Load implements Client. The report may lack the cached prefixes.
func (c *HTTPClient) Load(ctx context.Context, address string) (Load, error) {
	return c.loadFrom(ctx, address, loadPath)
}

// LoadWithPrefixes requests a target's load report with its cached prefixes.
func (c *HTTPClient) LoadWithPrefixes(ctx context.Context, address string) (Load, error) {
	return c.loadFrom(ctx, address, loadPrefixesPath)
}
