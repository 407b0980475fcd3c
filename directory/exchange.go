package directory

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/walnutcove/walnutcove/config"
)

// exported is the directory as one router gives it to another.
type exported struct {
	Version      config.Version            `json:"version"`
	Declarations config.Declarations       `json:"declarations"`
	Targets      map[string]exportedTarget `json:"targets"`
	Gone         map[string]uint64         `json:"gone"`
	// Lapsed holds removals that are not believed yet. The other router has to have them
	// with what came after them, as it will not ask for what is older again.
	Lapsed   map[string]exportedLapse `json:"lapsed,omitempty"`
	Revision uint64                   `json:"revision"`
}

type exportedTarget struct {
	Target   config.Target `json:"target"`
	Revision uint64        `json:"revision"`
}

type exportedLapse struct {
	Revision uint64 `json:"revision"`
	// Left is the time, in nanoseconds, until the removal is believed.
	Left time.Duration `json:"left"`
}

// Known is what a router has of the directory.
type Known struct {
	Version  config.Version `json:"version"`
	Revision uint64         `json:"revision"`
}

// Known returns what this router has, for Export at another.
func (f *Follower) Known() Known {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Known{Version: f.state.configuration.Version, Revision: f.state.revision}
}

// Export encodes what is known here and not to another router.
func (f *Follower) Export(known Known) ([]byte, error) {
	f.mu.Lock()
	content := f.state.export(known, time.Now())
	f.mu.Unlock()
	encoded, err := json.Marshal(content)
	if err != nil {
		return nil, fmt.Errorf("directory: encode for a peer: %w", err)
	}
	return encoded, nil
}

// Import takes in what another router exported, as far as it is newer. from
// names that router in logs.
func (f *Follower) Import(from string, encoded []byte) error {
	var content exported
	if err := json.Unmarshal(encoded, &content); err != nil {
		return fmt.Errorf("directory: decode from %s: %w", from, err)
	}
	entries := make([]Entry[config.Target], 0, len(content.Targets)+len(content.Gone))
	for name, target := range content.Targets {
		entries = append(entries, Entry[config.Target]{Key: name, Revision: target.Revision, Value: target.Target})
	}
	for name, revision := range content.Gone {
		entries = append(entries, Entry[config.Target]{Key: name, Revision: revision, Gone: true})
	}
	f.change("peer "+from, func(s *state) bool {
		configured := s.configure(Configuration{Version: content.Version, Declarations: content.Declarations})
		s.listed = true
		// The other router has judged for itself whether to believe a removal.
		applied := s.apply(entries, time.Time{})
		for name, l := range content.Lapsed {
			applied = s.remove(name, l.Revision, time.Now().Add(l.Left)) || applied
		}
		return configured || applied
	})
	return nil
}
