package classify

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/walnutcove/walnutcove/result"
)

// prefixBytes is how much of the prompt goes into the prefix hash.
const prefixBytes = 256

// call is what the router reads of an engine call's body.
type call struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

func parseCall(body []byte) (call, *result.Error) {
	var c call
	if err := json.Unmarshal(body, &c); err != nil {
		return call{}, result.Wrap(result.BadRequest, err, "the body is not a JSON object of the expected form")
	}
	if c.Model == "" {
		return call{}, result.New(result.BadRequest, "the body names no model")
	}
	return c, nil
}

// prefixHash hashes the beginning of the prompt as it stands in the body; zero
// if there is none.
func prefixHash(c call) uint64 {
	prompt := c.Messages
	if len(prompt) == 0 {
		prompt = c.Prompt
	}
	if len(prompt) == 0 {
		return 0
	}
	return xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
}
