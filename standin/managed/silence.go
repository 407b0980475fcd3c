package managed

import "time"

// FallSilent makes the replica send nothing for a time: neither events nor answers. It still
// accepts connections and requests, and continues all of them afterwards.
func (r *Replica) FallSilent(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silentUntil = time.Now().Add(d)
}

// waitWhileSilent waits until the replica is no longer silent.
func (r *Replica) waitWhileSilent() {
	for {
		r.mu.Lock()
		left := time.Until(r.silentUntil)
		r.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}
