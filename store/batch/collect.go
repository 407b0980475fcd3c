package batch

import "time"

// collect combines waiting groups into transactions until the table is closed and
// no group is left.
func (t *Table) collect() {
	defer close(t.collectorDone)
	for t.waitForGroup() {
		t.waitForOthers()
		_ = t.limiter.Wait(t.closeCtx) // after Close, the rest is sent without delay
		t.inFlightSlots <- struct{}{}
		batch := t.takeBatch()
		if len(batch) == 0 {
			<-t.inFlightSlots
			continue
		}
		t.senders.Submit(func() { t.send(batch) })
	}
}

// waitForGroup waits until a group is queued. It returns false once the table
// is closed and no group is left.
func (t *Table) waitForGroup() bool {
	for {
		t.mu.Lock()
		queued, blocked, closed := len(t.queue), len(t.blocked)+t.checkingGroups, t.closed
		t.mu.Unlock()
		if queued > 0 {
			return true
		}
		if closed && blocked == 0 {
			return false
		}
		<-t.changed
	}
}

// waitForOthers waits until the oldest group has waited for MaxWait or the queue
// can fill a transaction.
func (t *Table) waitForOthers() {
	timer := time.NewTimer(t.timeToSend())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return
		case <-t.changed:
			if t.timeToSend() <= 0 {
				return
			}
		}
	}
}

// timeToSend returns how long the oldest group may still wait for others.
func (t *Table) timeToSend() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || len(t.queue) == 0 || t.queuedOps >= t.options.MaxOps {
		return 0
	}
	return t.options.MaxWait - time.Since(t.queue[0].arrived)
}

// takeBatch removes the groups of the next transaction from the queue, oldest
// first. It leaves groups that do not fit, moves groups to blocked that share a
// row with a transaction in flight or with a group blocked before them, and drops
// abandoned groups.
func (t *Table) takeBatch() []*group {
	t.mu.Lock()
	defer t.mu.Unlock()
	wanted := wantedRows(t.blocked)
	var batch, remaining []*group
	ops, size := 0, 0
	for _, g := range t.queue {
		if t.rowsInFlight.conflictsWith(g) || wanted.conflictsWith(g) {
			t.blocked = append(t.blocked, g)
			wanted.add(g)
			continue
		}
		if ops+len(g.ops) > t.options.MaxOps || size+g.bytes > t.options.MaxBytes {
			remaining = append(remaining, g)
			continue
		}
		if !g.state.CompareAndSwap(groupWaiting, groupSending) {
			continue
		}
		t.rowsInFlight.add(g)
		batch = append(batch, g)
		ops += len(g.ops)
		size += g.bytes
	}
	t.queue = remaining
	t.queuedOps = countOps(remaining)
	return batch
}

// wantedRows returns the rows of blocked groups. Later groups must not overtake
// these, or a write of a row could wait forever behind checks of it.
func wantedRows(groups []*group) rowUsage {
	wanted := make(rowUsage)
	for _, g := range groups {
		wanted.add(g)
	}
	return wanted
}

func countOps(groups []*group) int {
	n := 0
	for _, g := range groups {
		n += len(g.ops)
	}
	return n
}
