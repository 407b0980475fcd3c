package follower

import (
	"sync"

	"github.com/walnutcove/walnutcove/config"
)

// state is the version in force and the entries that led to it. It is
// immutable but for the encoded snapshot, which is made on first demand.
type state struct {
	snapshot *config.Snapshot
	recent   []config.Entry // consecutive, ending at snapshot.Version

	encodeOnce sync.Once
	encoded    []byte
	encodeErr  error
}

// follow returns the state after s. applied are the entries that led from s to
// next; without them the recent entries start afresh. s may be nil.
func (s *state) follow(next *config.Snapshot, applied []config.Entry, keep, keepBytes int) *state {
	following := &state{snapshot: next}
	if len(applied) == 0 {
		return following
	}
	if s != nil {
		following.recent = append(following.recent, s.recent...)
	}
	following.recent = trim(append(following.recent, applied...), keep, keepBytes)
	return following
}

// trim keeps the newest entries within both limits.
func trim(entries []config.Entry, keep, keepBytes int) []config.Entry {
	start := len(entries)
	size := 0
	for start > 0 && len(entries)-start < keep {
		size += len(entries[start-1].Patch.Changes)
		if size > keepBytes {
			break
		}
		start--
	}
	return entries[start:]
}

// since returns the entries after a version if all are still held.
func (s *state) since(from config.Version) ([]config.Entry, bool) {
	if len(s.recent) == 0 || s.recent[0].Version > from+1 {
		return nil, false
	}
	return s.recent[from+1-s.recent[0].Version:], true
}

// whole returns the encoded snapshot.
func (s *state) whole() ([]byte, error) {
	s.encodeOnce.Do(func() {
		s.encoded, s.encodeErr = config.EncodeSnapshot(s.snapshot)
	})
	return s.encoded, s.encodeErr
}
