package front

import "sync"

// byteBudget limits bytes that this process holds, in total and per workspace. It is safe for
// concurrent use.
type byteBudget struct {
	max int64

	mu               sync.Mutex
	totalBytes       int64
	bytesByWorkspace map[string]int64
}

func newByteBudget(max int64) *byteBudget {
	return &byteBudget{max: max, bytesByWorkspace: make(map[string]int64)}
}

// reserve reports whether there was room for the bytes: a workspace may hold at most as much as
// is left free, so a single workspace gets at most half and there is always room for another one.
func (b *byteBudget) reserve(workspace string, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	workspaceBytes := b.bytesByWorkspace[workspace]
	if workspaceBytes+bytes > b.max-b.totalBytes {
		return false
	}
	b.totalBytes += bytes
	b.bytesByWorkspace[workspace] = workspaceBytes + bytes
	return true
}

// release returns reserved bytes.
func (b *byteBudget) release(workspace string, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.totalBytes -= bytes
	b.bytesByWorkspace[workspace] -= bytes
	if b.bytesByWorkspace[workspace] == 0 {
		delete(b.bytesByWorkspace, workspace)
	}
}

// heldBytes returns the number of reserved bytes.
func (b *byteBudget) heldBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totalBytes
}

// answerShare is what one exchange has reserved for its answer. It is safe for concurrent use.
type answerShare struct {
	budget *byteBudget

	mu        sync.Mutex
	workspace string // of the first reservation
	bytes     int64
	ended     bool
}

// hold implements pipeline.Exchange.HoldAnswer.
func (a *answerShare) hold(workspace string, bytes int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bytes == 0 {
		a.workspace = workspace
	}
	switch {
	case a.ended:
		return false
	case bytes < 0:
		a.budget.release(a.workspace, -bytes)
	case !a.budget.reserve(a.workspace, bytes):
		return false
	}
	a.bytes += bytes
	return true
}

// end returns everything. No bytes can be reserved from then on.
func (a *answerShare) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	if a.bytes > 0 {
		a.budget.release(a.workspace, a.bytes)
	}
	a.bytes = 0
}
