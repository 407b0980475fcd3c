package classify

import (
	"bytes"
	"errors"
	"io"

	"github.com/go-json-experiment/json/jsontext"

	"github.com/walnutcove/walnutcove/result"
)

// call is what the router reads of an engine call's body.
type call struct {
	model  string
	stream bool
	// messages and prompt are JSON values as they stand in the body; nil if
	// absent.
	messages jsontext.Value
	prompt   jsontext.Value
}

// parseCall reads the body's top-level members. Names are compared exactly, and
// a name that stands twice in an object is refused, so that the router and the
// target cannot read two different models out of one body.
func parseCall(body []byte) (call, *result.Error) {
	c, err := decodeCall(body)
	if err != nil {
		return call{}, result.Wrap(result.BadRequest, err, "The body must be one JSON object without doubled names, in which model is a string and stream a boolean.")
	}
	if c.model == "" {
		return call{}, result.New(result.BadRequest, "The body names no model.")
	}
	return c, nil
}

func decodeCall(body []byte) (call, error) {
	// The decoder reads a bytes.Buffer in place.
	decoder := jsontext.NewDecoder(bytes.NewBuffer(body))
	if decoder.PeekKind() != jsontext.KindBeginObject {
		return call{}, errors.New("not an object")
	}
	if _, err := decoder.ReadToken(); err != nil {
		return call{}, err
	}
	var c call
	for decoder.PeekKind() == jsontext.KindString {
		if err := c.readMember(decoder); err != nil {
			return call{}, err
		}
	}
	if _, err := decoder.ReadToken(); err != nil {
		return call{}, err
	}
	if _, err := decoder.ReadToken(); err != io.EOF {
		return call{}, errors.Join(err, errors.New("text after the object"))
	}
	return c, nil
}

// readMember reads a name and its value.
func (c *call) readMember(decoder *jsontext.Decoder) error {
	name, err := decoder.ReadToken()
	if err != nil {
		return err
	}
	switch name.String() {
	case "model":
		c.model, err = readString(decoder)
	case "stream":
		c.stream, err = readBool(decoder)
	case "messages":
		c.messages, err = decoder.ReadValue()
	case "prompt":
		c.prompt, err = decoder.ReadValue()
	default:
		err = decoder.SkipValue()
	}
	return err
}

func readString(decoder *jsontext.Decoder) (string, error) {
	token, err := decoder.ReadToken()
	if err != nil {
		return "", err
	}
	if token.Kind() != jsontext.KindString {
		return "", errors.New("not a string")
	}
	return token.String(), nil
}

// readBool reads a boolean; null stands for false.
func readBool(decoder *jsontext.Decoder) (bool, error) {
	token, err := decoder.ReadToken()
	if err != nil {
		return false, err
	}
	switch token.Kind() {
	case jsontext.KindTrue:
		return true, nil
	case jsontext.KindFalse, jsontext.KindNull:
		return false, nil
	}
	return false, errors.New("not a boolean")
}
