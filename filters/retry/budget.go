package retry

import "sync"

const (
	// retriesPerRequest is the fraction of a retry that each request adds to the budget.
	retriesPerRequest = 0.2
	// maxSavedRetries bounds the retries that a router can save up.
	maxSavedRetries = 50.0
	// maxWorkspaceSavedRetries bounds the retries that one workspace can save up, so
	// that a workspace whose requests all fail leaves retries to the others.
	maxWorkspaceSavedRetries = 10.0
)

// savedBudget is a token bucket that bounds the retries of a router and of each
// workspace at that router.
type savedBudget struct {
	mu    sync.Mutex
	saved float64
	// savedByWorkspace holds the retries left to each workspace; a workspace with a
	// full budget has no entry.
	savedByWorkspace map[string]float64
}

func newSavedBudget() *savedBudget {
	return &savedBudget{saved: maxSavedRetries, savedByWorkspace: make(map[string]float64)}
}

// recordRequest adds what one request earns to the budgets.
func (b *savedBudget) recordRequest(_, workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+retriesPerRequest, maxSavedRetries)
	workspaceSaved, isTracked := b.savedByWorkspace[workspace]
	if !isTracked {
		return
	}
	if workspaceSaved += retriesPerRequest; workspaceSaved >= maxWorkspaceSavedRetries {
		delete(b.savedByWorkspace, workspace)
		return
	}
	b.savedByWorkspace[workspace] = workspaceSaved
}

// takeRetry takes one retry. It returns false if none is left.
func (b *savedBudget) takeRetry(_, workspace string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	workspaceSaved, isTracked := b.savedByWorkspace[workspace]
	if !isTracked {
		workspaceSaved = maxWorkspaceSavedRetries
	}
	if b.saved < 1 || workspaceSaved < 1 {
		return false
	}
	b.saved--
	b.savedByWorkspace[workspace] = workspaceSaved - 1
	return true
}

// hasRetry reports whether takeRetry would return true.
func (b *savedBudget) hasRetry(_, workspace string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	workspaceSaved, isTracked := b.savedByWorkspace[workspace]
	return b.saved >= 1 && (!isTracked || workspaceSaved >= 1)
}
