package retry

import "sync"

const (
	// earnedPerRequest is the part of a retry that each request earns.
	earnedPerRequest = 0.2
	// maxBudget bounds the retries saved up at one router.
	maxBudget = 50.0
	// maxWorkspaceBudget bounds those that one workspace may save up, so that
	// one whose requests all fail leaves retries to the others.
	maxWorkspaceBudget = 10.0
)

// budget bounds the retries of a router, and of each workspace at it.
type budget struct {
	mu   sync.Mutex
	left float64
	// short holds what is left to the workspaces that have not all of theirs.
	short map[string]float64
}

func newBudget() *budget {
	return &budget{left: maxBudget, short: make(map[string]float64)}
}

// earn counts a request.
func (b *budget) earn(_, workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+earnedPerRequest, maxBudget)
	own, isShort := b.short[workspace]
	if !isShort {
		return
	}
	if own += earnedPerRequest; own >= maxWorkspaceBudget {
		delete(b.short, workspace)
		return
	}
	b.short[workspace] = own
}

// spend takes one retry. It reports false if there is none.
func (b *budget) spend(_, workspace string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	own, isShort := b.short[workspace]
	if !isShort {
		own = maxWorkspaceBudget
	}
	if b.left < 1 || own < 1 {
		return false
	}
	b.left--
	b.short[workspace] = own - 1
	return true
}
