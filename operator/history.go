package operator

import (
	"encoding/json"
	"slices"

	"github.com/walnutcove/walnutcove/config"
)

// historyAnswer lists versions with the names of the changed objects. It leaves out the
// changes themselves, which may be megabytes.
func historyAnswer(entries []config.Entry) HistoryAnswer {
	answer := HistoryAnswer{Versions: make([]HistoryEntry, 0, len(entries))}
	for _, entry := range entries {
		names := changedNames(entry.Patch.Changes)
		answer.Versions = append(answer.Versions, HistoryEntry{
			Version:    entry.Version,
			PatchID:    entry.Patch.ID,
			Author:     entry.Patch.Author,
			Note:       entry.Patch.Note,
			AcceptedAt: entry.AcceptedAt,
			Digest:     entry.Digest,
			Objects:    len(names),
			Changed:    names[:min(len(names), MaxChangedNames)],
		})
	}
	return answer
}

// changedNames lists the objects of a merge patch as "section.name", sorted.
func changedNames(changes json.RawMessage) []string {
	var sections map[string]map[string]json.RawMessage
	if err := json.Unmarshal(changes, &sections); err != nil {
		return []string{} // Accepted patches have this shape.
	}
	names := []string{}
	for section, objects := range sections {
		for name := range objects {
			names = append(names, section+"."+name)
		}
	}
	slices.Sort(names)
	return names
}
