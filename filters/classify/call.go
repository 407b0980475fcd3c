package classify

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"

	"github.com/walnutcove/walnutcove/result"
)

// prefixBytes is how much of the prompt goes into the prefix hash.
const prefixBytes = 256

// call is what the router reads of an engine call's body.
type call struct {
	model  string
	stream bool
	// prompt is the JSON text of the messages or the prompt; nil if none.
	prompt json.RawMessage
}

// parseCall reads the body's top-level members. Names are compared exactly and
// may stand once only, so that the router and the target cannot read two
// different models out of one body.
func parseCall(body []byte) (call, *result.Error) {
	c, err := decodeCall(body)
	if err != nil {
		return call{}, result.Wrap(result.BadRequest, err, "The body must be a JSON object in which model, stream, messages and prompt stand once at most and have their usual types.")
	}
	if c.model == "" {
		return call{}, result.New(result.BadRequest, "The body names no model.")
	}
	return c, nil
}

func decodeCall(body []byte) (call, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return call{}, errors.Join(err, errors.New("not an object"))
	}
	var m members
	for decoder.More() {
		if err := m.decodeNext(decoder); err != nil {
			return call{}, err
		}
	}
	if _, err := decoder.Token(); err != nil {
		return call{}, err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return call{}, errors.New("text after the object")
	}
	return m.call(), nil
}

// members are the top-level members that the router reads; nil means absent.
type members struct {
	model    *string
	stream   *bool
	messages json.RawMessage
	prompt   json.RawMessage
}

// decodeNext reads one member.
func (m *members) decodeNext(decoder *json.Decoder) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	known := true
	switch token {
	case "model":
		known = m.model != nil
		err = decoder.Decode(&m.model)
	case "stream":
		known = m.stream != nil
		err = decoder.Decode(&m.stream)
	case "messages":
		known = m.messages != nil
		err = decoder.Decode(&m.messages)
	case "prompt":
		known = m.prompt != nil
		err = decoder.Decode(&m.prompt)
	default:
		var skipped json.RawMessage
		return decoder.Decode(&skipped)
	}
	if known {
		return fmt.Errorf("%q stands twice", token)
	}
	return err
}

func (m *members) call() call {
	c := call{prompt: m.messages}
	if c.prompt == nil {
		c.prompt = m.prompt
	}
	if m.model != nil {
		c.model = *m.model
	}
	if m.stream != nil {
		c.stream = *m.stream
	}
	return c
}

// prefixHash hashes the beginning of the prompt as it stands in the body; zero
// if there is none.
func (c call) prefixHash() uint64 {
	if len(c.prompt) == 0 {
		return 0
	}
	return xxhash.Sum64(c.prompt[:min(len(c.prompt), prefixBytes)])
}
