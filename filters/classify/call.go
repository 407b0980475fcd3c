package classify

import (
	"bytes"
	"errors"
	"io"

	"github.com/go-json-experiment/json/jsontext"

	"github.com/walnutcove/walnutcove/result"
)

// engineCall holds the fields that the router reads from the body of an engine call.
type engineCall struct {
	model  string
	stream bool
	// messages and prompt are raw JSON values from the body; nil if absent.
	messages jsontext.Value
	prompt   jsontext.Value
}

// parseCall reads the body's top-level members. Names are compared case-sensitively
// and duplicate names in an object are refused, so that the router and the target
// cannot read different models from the same body.
func parseCall(body []byte) (engineCall, *result.Error) {
	c, err := decodeCall(body)
	if err != nil {
		return engineCall{}, result.Wrap(result.BadRequest, err, "The body must be one JSON object without doubled names, in which model is a string and stream a boolean.")
	}
	if c.model == "" {
		return engineCall{}, result.New(result.BadRequest, "The body names no model.")
	}
	return c, nil
}

func decodeCall(body []byte) (engineCall, error) {
	// The decoder reads a bytes.Buffer in place.
	decoder := jsontext.NewDecoder(bytes.NewBuffer(body))
	if decoder.PeekKind() != jsontext.KindBeginObject {
		return engineCall{}, errors.New("the body is not a JSON object")
	}
	if _, err := decoder.ReadToken(); err != nil {
		return engineCall{}, err
	}
	var c engineCall
	for decoder.PeekKind() == jsontext.KindString {
		if err := c.readMember(decoder); err != nil {
			return engineCall{}, err
		}
	}
	if _, err := decoder.ReadToken(); err != nil {
		return engineCall{}, err
	}
	if _, err := decoder.ReadToken(); err != io.EOF {
		return engineCall{}, errors.Join(err, errors.New("unexpected text after the JSON object"))
	}
	return c, nil
}

// readMember reads one name and its value.
func (c *engineCall) readMember(decoder *jsontext.Decoder) error {
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
		return "", errors.New("the value is not a string")
	}
	return token.String(), nil
}

// readBool reads a boolean; null counts as false.
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
	return false, errors.New("the value is not a boolean")
}
