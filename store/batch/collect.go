package batch

import "time"

// collect gathers waiting groups into transactions until the table is closed
// and no group is left.
func (t *Table) collect() {
	defer close(t.done)
	for t.waitForGroup() {
		t.waitForOthers()
		_ = t.pace.Wait(t.closing) // what is left at Close goes at once
		t.slots <- struct{}{}
		batch := t.take()
		if len(batch) == 0 {
			<-t.slots
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
		queued, blocked, closed := len(t.queue), len(t.blocked)+t.checking, t.closed
		t.mu.Unlock()
		if queued > 0 {
			return true
		}
		if closed && blocked == 0 {
			return false
		}
		<-t.wake
	}
}

// waitForOthers waits until the oldest group has waited for MaxWait or enough
// groups are queued to fill a transaction.
func (t *Table) waitForOthers() {
	timer := time.NewTimer(t.timeToSend())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return
		case <-t.wake:
			if t.timeToSend() <= 0 {
				return
			}
		}
	}
}

// timeToSend is how long the oldest group may still wait for others.
func (t *Table) timeToSend() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || len(t.queue) == 0 || t.queued >= t.options.MaxOps {
		return 0
	}
	return t.options.MaxWait - time.Since(t.queue[0].arrived)
}

// take removes from the queue the groups of the next transaction, oldest first.
// It leaves those that do not fit, sets aside those that share a row with a
// transaction in flight or with a group set aside before, and forgets the
// abandoned ones.
func (t *Table) take() []*group {
	t.mu.Lock()
	defer t.mu.Unlock()
	wanted := wantedRows(t.blocked)
	var batch, left []*group
	ops, size := 0, 0
	for _, g := range t.queue {
		if t.inFlight.exclude(g) || wanted.exclude(g) {
			t.blocked = append(t.blocked, g)
			wanted.add(g)
			continue
		}
		if ops+len(g.ops) > t.options.MaxOps || size+g.bytes > t.options.MaxBytes {
			left = append(left, g)
			continue
		}
		if !g.state.CompareAndSwap(groupWaiting, groupSending) {
			continue
		}
		t.inFlight.add(g)
		batch = append(batch, g)
		ops += len(g.ops)
		size += g.bytes
	}
	t.queue = left
	t.queued = countOps(left)
	return batch
}

// wantedRows returns the rows of groups that were set aside. Later groups must
// not pass these, or a write of a row would wait for ever behind checks of it.
func wantedRows(groups []*group) rowUses {
	wanted := make(rowUses)
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
