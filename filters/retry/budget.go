package retry

import "sync"

// Defaults of Limits.
const (
	// earnedPerRequest is the part of a retry that each request earns.
	earnedPerRequest = 0.2
	// maxBudget bounds the retries saved up at one router.
	maxBudget = 50.0
)

// Limits bound the retries of one pool at this router. Over any span it makes at
// most Saved retries, and Earned for each request in the span.
type Limits struct {
	// Earned is the part of a retry that each request earns.
	Earned float64
	// Saved bounds the retries saved up.
	Saved float64
}

const (
	// maxWorkspaceBudget bounds those that one workspace may save up, so that
	// one whose requests all fail leaves retries to the others.
	maxWorkspaceBudget = 10.0
)

// budget bounds the retries of each pool, and of each workspace.
type budget struct {
	limits func() Limits
	mu     sync.Mutex
	// spent is what a pool has used of Limits.Saved.
	spent map[string]float64
	// short holds what is left to the workspaces that have not all of theirs.
	short map[string]float64
}

func newBudget(limits func() Limits) *budget {
	return &budget{limits: limits, spent: make(map[string]float64), short: make(map[string]float64)}
}

// earn counts a request.
func (b *budget) earn(pool, workspace string) {
	earned := b.limits().Earned
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent[pool] = max(0, b.spent[pool]-earned)
	own, isShort := b.short[workspace]
	if !isShort {
		return
	}
	if own += earned; own >= maxWorkspaceBudget {
		delete(b.short, workspace)
		return
	}
	b.short[workspace] = own
}

// spend takes one retry. It reports false if there is none.
func (b *budget) spend(pool, workspace string) bool {
	saved := b.limits().Saved
	b.mu.Lock()
	defer b.mu.Unlock()
	own, isShort := b.short[workspace]
	if !isShort {
		own = maxWorkspaceBudget
	}
	if saved-b.spent[pool] < 1 || own < 1 {
		return false
	}
	b.spent[pool]++
	b.short[workspace] = own - 1
	return true
}
