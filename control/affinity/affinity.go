// Package affinity keeps which pool and software version began each stream. A stream to which
// its caller reconnects may continue only there, as another version may generate different
// events.
//
// A record never changes. A key that was recorded with two different affinities, because a
// caller used a request id twice, counts as unknown.
package affinity

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Key identifies a stream: a part of a cryptographic hash of its workspace and of the id of the
// request that brought its first event. Callers choose the ids; with a weaker hash they could
// choose some that collide with each other.
type Key uint64

// KeyOf returns the key of a stream. Workspaces cannot name each other's streams.
func KeyOf(workspace, request string) Key {
	content := binary.AppendUvarint(nil, uint64(len(workspace)))
	content = append(content, workspace...)
	content = append(content, request...)
	sum := sha256.Sum256(content)
	return Key(binary.LittleEndian.Uint64(sum[:]))
}

// Affinity is where a stream began.
type Affinity struct {
	Pool, Software string
}

// Record is the affinity of one stream.
type Record struct {
	Key      Key
	Affinity Affinity
}

// maxRecords bounds the records of a table; the least recently used ones are evicted.
const maxRecords = 1 << 16

// Table holds records that expire. It is not safe for concurrent use. Times are since any
// fixed moment.
type Table struct {
	records map[Key]*record
	// queue holds the key of each record once, by the time of an earlier use.
	queue []Key
}

type record struct {
	affinity    Affinity
	conflicting bool
	usedAt      time.Duration
	// queuedAt is usedAt when the key was put in the queue.
	queuedAt time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{records: make(map[Key]*record)} }

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Add records where a stream began. Records that have not been used for the retention time
// are removed.
func (t *Table) Add(now, retention time.Duration, r Record) {
	t.expire(now, retention)
	if known := t.records[r.Key]; known != nil {
		known.usedAt = now
		known.conflicting = known.conflicting || known.affinity != r.Affinity
		return
	}
	if len(t.records) >= maxRecords {
		t.evict()
	}
	t.records[r.Key] = &record{affinity: r.Affinity, usedAt: now, queuedAt: now}
	t.queue = append(t.queue, r.Key)
}

// Get returns where a stream began, and whether that is known.
func (t *Table) Get(now, retention time.Duration, key Key) (Affinity, bool) {
	t.expire(now, retention)
	known := t.records[key]
	if known == nil || known.conflicting {
		return Affinity{}, false
	}
	known.usedAt = now
	return known.affinity, true
}

// All calls yield for each record that is not conflicting until it returns false, in the
// order of the queue.
func (t *Table) All(yield func(Record) bool) {
	for _, key := range t.queue {
		if r := t.records[key]; !r.conflicting && !yield(Record{Key: key, Affinity: r.affinity}) {
			return
		}
	}
}

// expire removes the records that have not been used for the retention time.
func (t *Table) expire(now, retention time.Duration) {
	for len(t.queue) > 0 && now-t.records[t.queue[0]].queuedAt > retention {
		t.removeFirst(func(r *record) bool { return now-r.usedAt <= retention })
	}
}

// evict removes one record that has not been used since it was put in the queue.
func (t *Table) evict() {
	for before := len(t.records); len(t.records) == before; {
		t.removeFirst(func(r *record) bool { return r.usedAt > r.queuedAt })
	}
}

// removeFirst removes the first key of the queue with its record, or puts it at the end if its
// record is to be kept.
func (t *Table) removeFirst(keep func(*record) bool) {
	key := t.queue[0]
	t.queue = t.queue[1:]
	r := t.records[key]
	if !keep(r) {
		delete(t.records, key)
		return
	}
	r.queuedAt = r.usedAt
	t.queue = append(t.queue, key)
}
