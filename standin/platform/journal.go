package platform

import (
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/store"
	"github.com/walnutcove/walnutcove/store/memory"
)

// defaultMinJournalEntries is the default of Options.MinJournalEntries.
const defaultMinJournalEntries = 1 << 20

// Entry is the journal's record of one written row or object.
type Entry struct {
	// Seq numbers the entries from 1 in the order in which they were applied.
	Seq uint64 `json:"seq"`
	// AppliedAt is the wall clock time of the write. Elapsed is the monotonic time
	// since the server was created, in nanoseconds.
	AppliedAt time.Time     `json:"applied_at"`
	Elapsed   time.Duration `json:"elapsed_ns"`
	// Kind, Table, Key and Bytes describe what was written. Objects have
	// ObjectsTable as their table.
	Kind  store.OpKind `json:"kind"`
	Table string       `json:"table"`
	Key   string       `json:"key"`
	Bytes int          `json:"bytes"`
	// Revision is the revision of the commit; all its entries have the same one.
	Revision uint64 `json:"revision"`
	// ReplyLost is set if a fault lost the reply to this write.
	ReplyLost bool `json:"reply_lost,omitempty"`
}

// JournalPage is a range of the journal's entries.
type JournalPage struct {
	Entries []Entry `json:"entries"`
	// Dropped is the number of oldest entries that are no longer kept.
	Dropped uint64 `json:"dropped"`
}

// journal keeps the latest applied writes in the order of their application.
type journal struct {
	max     int // a drop leaves this many entries; see Options.MinJournalEntries
	started time.Time

	mu      sync.Mutex
	entries []Entry
	dropped uint64
}

func newJournal(minEntries int) *journal {
	if minEntries <= 0 {
		minEntries = defaultMinJournalEntries
	}
	return &journal{max: minEntries, started: time.Now()}
}

// add appends a change. The store calls it in the order in which it applies
// changes.
func (j *journal) add(change memory.Change) {
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	table := change.Table
	if table == "" {
		table = ObjectsTable
	}
	j.entries = append(j.entries, Entry{
		Seq:       j.dropped + uint64(len(j.entries)) + 1,
		AppliedAt: now,
		Elapsed:   now.Sub(j.started),
		Kind:      change.Kind,
		Table:     table,
		Key:       change.Key,
		Bytes:     change.Bytes,
		Revision:  change.Revision,
	})
	if len(j.entries) >= 2*j.max {
		j.dropOldest(len(j.entries) - j.max)
	}
}

func (j *journal) dropOldest(n int) {
	j.entries = append([]Entry(nil), j.entries[n:]...)
	j.dropped += uint64(n)
}

// markReplyLost sets ReplyLost on the entries of a commit.
func (j *journal) markReplyLost(revision uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := len(j.entries) - 1; i >= 0 && j.entries[i].Revision >= revision; i-- {
		if j.entries[i].Revision == revision {
			j.entries[i].ReplyLost = true
		}
	}
}

// page returns up to limit entries with Seq > after.
func (j *journal) page(after uint64, limit int) JournalPage {
	j.mu.Lock()
	defer j.mu.Unlock()
	page := JournalPage{Entries: []Entry{}, Dropped: j.dropped}
	skip := 0
	if after > j.dropped {
		skip = int(min(after-j.dropped, uint64(len(j.entries))))
	}
	end := min(skip+limit, len(j.entries))
	page.Entries = append(page.Entries, j.entries[skip:end]...)
	return page
}

// Journal returns up to limit applied writes with Seq > after, in order.
func (s *Server) Journal(after uint64, limit int) JournalPage {
	return s.journal.page(after, max(limit, 0))
}
