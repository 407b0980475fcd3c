package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/walnutcove/walnutcove/standin/journal"
)

// PathJournal is the path at which a stand-in target serves its journal.
const PathJournal = "/_journal"

// Journals returns the entries of every target's journal.
func (f *Fleet) Journals() ([]journal.Entry, error) {
	var all []journal.Entry
	for name, target := range f.Targets {
		var entries []journal.Entry
		if err := GetJSON("http://"+target.Address+PathJournal, &entries); err != nil {
			return nil, fmt.Errorf("read the journal of %s: %w", name, err)
		}
		all = append(all, entries...)
	}
	return all, nil
}

// ClearJournals empties every target's journal.
func (f *Fleet) ClearJournals() error {
	for name, target := range f.Targets {
		request, err := http.NewRequest(http.MethodDelete, "http://"+target.Address+PathJournal, nil)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return fmt.Errorf("clear the journal of %s: %w", name, err)
		}
		_ = response.Body.Close()
	}
	return nil
}

// GetJSON gets a JSON document and decodes it into document.
func GetJSON(url string, document any) error {
	response, err := http.Get(url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(document)
}
