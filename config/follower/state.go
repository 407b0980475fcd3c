package follower

import (
	"sync"

	"github.com/walnutcove/walnutcove/config"
)

// state is the version in force and the recent entries that led to it. It is
// immutable except for the encoded snapshot, which is created on first use.
type state struct {
	snapshot *config.Snapshot
	recent   []config.Entry // consecutive, ending at snapshot.Version

	encodeOnce sync.Once
	encoded    []byte
	encodeErr  error
}

// advance returns the state that follows s. applied are the entries that led
// from s to next; if there are none, the new state holds no recent entries. s
// may be nil.
func (s *state) advance(next *config.Snapshot, applied []config.Entry, keepEntries, keepBytes int) *state {
	result := &state{snapshot: next}
	if len(applied) == 0 {
		return result
	}
	if s != nil {
		result.recent = append(result.recent, s.recent...)
	}
	result.recent = trimEntries(append(result.recent, applied...), keepEntries, keepBytes)
	return result
}

// trimEntries returns the newest entries that fit within both limits.
func trimEntries(entries []config.Entry, keepEntries, keepBytes int) []config.Entry {
	start := len(entries)
	size := 0
	for start > 0 && len(entries)-start < keepEntries {
		size += len(entries[start-1].Patch.Changes)
		if size > keepBytes {
			break
		}
		start--
	}
	return entries[start:]
}

// entriesAfter returns the entries after a version, if all of them are still held.
func (s *state) entriesAfter(from config.Version) ([]config.Entry, bool) {
	if len(s.recent) == 0 || s.recent[0].Version > from+1 {
		return nil, false
	}
	return s.recent[from+1-s.recent[0].Version:], true
}

// encodedSnapshot returns the encoded snapshot, encoding it on first use.
func (s *state) encodedSnapshot() ([]byte, error) {
	s.encodeOnce.Do(func() {
		s.encoded, s.encodeErr = config.EncodeSnapshot(s.snapshot)
	})
	return s.encoded, s.encodeErr
}
