package retry

import (
	"sync"
	"time"
)

const (
	// slotsPerWindow is into how many slots a window is cut.
	slotsPerWindow = 20
	// slotsKept is one more: requests are counted in the slots that lie in the window
	// whole, and retries also in the one that lies in it in part, so that no window
	// holds more than the rules allow.
	slotsKept = slotsPerWindow + 1
)

// workspacePart is the part of a pool's retries that one workspace may use, so that
// one whose requests all fail leaves retries to the others.
const workspacePart = 0.5

// Rules bound the retries of a pool at this router: in any window, Ratio for each
// request in it, and Slack.
type Rules struct {
	Ratio, Slack float64
	Window       time.Duration
}

// windowed is a budget that counts requests and retries in a sliding window.
type windowed struct {
	rules func() Rules
	now   func() time.Time

	mu    sync.Mutex
	pools map[string]*poolWindow
}

// poolWindow counts one pool. Slots are used in turn; each says which turn it holds.
type poolWindow struct {
	slots [slotsKept]windowSlot
}

type windowSlot struct {
	turn              int64
	requests, retries float64
	// byWorkspace counts the retries of each workspace.
	byWorkspace map[string]float64
}

func newWindowed(rules func() Rules, now func() time.Time) *windowed {
	return &windowed{rules: rules, now: now, pools: make(map[string]*poolWindow)}
}

// start is the origin of turns, on the steady clock.
var start = time.Now()

// slot returns the present slot of a pool and its turn.
func (w *windowed) slot(pool string, window time.Duration) (*poolWindow, *windowSlot, int64) {
	p := w.pools[pool]
	if p == nil {
		p = &poolWindow{}
		w.pools[pool] = p
	}
	turn := int64(w.now().Sub(start) / (window / slotsPerWindow))
	s := &p.slots[turn%slotsKept]
	if s.turn != turn {
		*s = windowSlot{turn: turn, byWorkspace: make(map[string]float64)}
	}
	if s.byWorkspace == nil {
		s.byWorkspace = make(map[string]float64)
	}
	return p, s, turn
}

// earn counts a request.
func (w *windowed) earn(pool, _ string) {
	rules := w.rules()
	w.mu.Lock()
	defer w.mu.Unlock()
	_, s, _ := w.slot(pool, rules.Window)
	s.requests++
}

// spend takes one retry. It reports false if there is none.
func (w *windowed) spend(pool, workspace string) bool {
	rules := w.rules()
	w.mu.Lock()
	defer w.mu.Unlock()
	p, s, turn := w.slot(pool, rules.Window)
	var requests, retries, own float64
	for _, other := range p.slots {
		if turn-other.turn < slotsPerWindow {
			requests += other.requests
		}
		if turn-other.turn < slotsKept {
			retries += other.retries
			own += other.byWorkspace[workspace]
		}
	}
	allowed := rules.Slack + rules.Ratio*requests
	if retries+1 > allowed || own+1 > max(1, workspacePart*allowed) {
		return false
	}
	s.retries++
	s.byWorkspace[workspace]++
	return true
}
