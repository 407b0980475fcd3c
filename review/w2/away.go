package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
)

// caseAway takes a replica of one service and two of the three of another away at the same moment.
// None of them reports that it drains: their entries are removed, and they serve for drain_ms and a
// little longer.
func caseAway(w *world, trouble bool) error {
	const (
		drain  = 2000 * time.Millisecond // drain_ms
		linger = 250 * time.Millisecond  // "and a little longer"
		work   = 60 * time.Millisecond
	)
	ops := make([]*replica, 0, 3)
	for n := range 3 {
		if _, err := w.startReplica(fmt.Sprintf("i-gen-%d", n), engine, 64, w.plain(work)); err != nil {
			return err
		}
		r, err := w.startReplica(fmt.Sprintf("i-ops-%d", n), service, 6, w.plain(work))
		if err != nil {
			return err
		}
		ops = append(ops, r)
	}
	for n := range 6 {
		storeAddress, err := w.store.Listen()
		if err != nil {
			return err
		}
		if _, err := w.startRouterAt(fmt.Sprintf("edge-%d", n), zones[n%len(zones)], storeAddress); err != nil {
			return err
		}
	}
	if err := w.awaitReady(30 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	leaving := map[string]time.Time{} // when the removal was accepted
	var mu sync.Mutex
	var answers []answer
	var ids []string
	var wait sync.WaitGroup
	begun := time.Now()
	for n := 0; time.Since(begun) < 7*time.Second; n++ {
		if n == 40 && trouble {
			for _, id := range []string{"i-gen-2", ops[0].id, ops[1].id} {
				w.store.Delete(wire.TableReplicas, id)
				leaving[id] = time.Now()
				w.logf("the store has accepted the removal of the entry of %s", id)
				time.Sleep(5 * time.Millisecond) // a transaction takes 5 ms
			}
			for _, r := range ops[:2] {
				time.AfterFunc(drain+linger, func() {
					w.logf("%s ends", r.id)
					r.stop()
				})
			}
		}
		r := w.routers[n%len(w.routers)]
		id := fmt.Sprintf("%016x", 0xb000+n)
		wait.Go(func() {
			a := w.once(r.front, http.MethodPost, pathUnsafe+"2f", id, 1000, nil, []byte("body"))
			mu.Lock()
			defer mu.Unlock()
			answers, ids = append(answers, a), append(ids, id)
		})
		time.Sleep(25 * time.Millisecond)
	}
	wait.Wait()
	late, lost, most := 0, 0, time.Duration(0)
	for n, a := range answers {
		for _, run := range w.runsOf(ids[n]) {
			removed, left := leaving[run.replica]
			if !left || run.at.Sub(removed) <= drain {
				continue
			}
			late++
			most = max(most, run.at.Sub(removed))
			if a.status != http.StatusOK {
				lost++
				w.logf("%s reached %s %.3f s after its removal, ran, and its client got %d", ids[n], run.replica, run.at.Sub(removed).Seconds(), a.status)
			}
		}
	}
	if late > 0 {
		return fmt.Errorf("%w: DRAIN, %d requests reached replicas later than %.1f s after the removal of their entries, the last one %.3f s after it; the answers to %d of these, which may not be repeated, were lost as the replica ended",
			errBroken, late, drain.Seconds(), most.Seconds(), lost)
	}
	return nil
}
