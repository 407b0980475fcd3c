package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/walnutcove/walnutcove/standin/internal/host"
	"github.com/walnutcove/walnutcove/targets"
)

// Paths of the calls.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
)

// defaultMaxTokens is the number of tokens if the request names none.
const defaultMaxTokens = 16

// Call is what the engine reads from a request.
type Call struct {
	// Chat tells a chat call from a plain completion.
	Chat bool
	// Stream asks for server-sent events.
	Stream bool
	// Model is the model's name, echoed in the answer.
	Model string
	// Prompt is the prompt, or the contents of all messages, one a line.
	Prompt string
	// PrefixHash is the hash of the prompt's beginning; see targets.PrefixHash.
	PrefixHash uint64
	// MaxTokens is the number of tokens of the answer. Default 16.
	MaxTokens int
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type callBody struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

// ParseCall reads the body of a call to path.
func ParseCall(path string, body []byte) (Call, error) {
	var parsed callBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return Call{}, fmt.Errorf("engine: call: %w", err)
	}
	if parsed.MaxTokens < 0 {
		return Call{}, errors.New("engine: max_tokens is negative")
	}
	call := Call{
		Chat:      path == PathChat,
		Stream:    parsed.Stream,
		Model:     parsed.Model,
		MaxTokens: parsed.MaxTokens,
	}
	if call.MaxTokens == 0 {
		call.MaxTokens = defaultMaxTokens
	}
	return call, call.setPrompt(parsed)
}

// setPrompt reads the prompt, or the messages of a chat.
func (c *Call) setPrompt(parsed callBody) error {
	if !c.Chat {
		c.PrefixHash = targets.PrefixHash(parsed.Prompt)
		return readPart(parsed.Prompt, &c.Prompt)
	}
	var messages []message
	if err := readPart(parsed.Messages, &messages); err != nil {
		return err
	}
	c.PrefixHash = targets.PrefixHash(parsed.Messages)
	c.Prompt = joinMessages(messages)
	return nil
}

// readPart reads one member of the body; an absent one leaves into as it is.
func readPart(part json.RawMessage, into any) error {
	if len(part) == 0 {
		return nil
	}
	if err := json.Unmarshal(part, into); err != nil {
		return fmt.Errorf("engine: prompt: %w", err)
	}
	return nil
}

func joinMessages(messages []message) string {
	contents := make([]string, len(messages))
	for i, m := range messages {
		contents[i] = m.Content
	}
	return strings.Join(contents, "\n")
}

// ExpectedText returns the text of the answer to a prompt. Every token names
// the prompt's mark ("mark:XXXX"), or the prompt's hash if it has none, and
// its own number.
func ExpectedText(prompt string, maxTokens int) string {
	var text strings.Builder
	mark := host.Mark(prompt)
	for i := range maxTokens {
		text.WriteString(token(mark, i))
	}
	return text.String()
}

// token returns token i of an answer. It needs no escaping in JSON.
func token(mark string, i int) string {
	return fmt.Sprintf("%s.%d ", mark, i)
}

// ExpectedStream returns the whole body of the streamed answer to the call, for
// checkers.
func (c Call) ExpectedStream(requestID string) []byte {
	var body []byte
	mark := host.Mark(c.Prompt)
	for i := range c.MaxTokens {
		body = append(body, c.event(requestID, mark, i)...)
	}
	return append(body, doneEvent...)
}

// ExpectedWhole returns the body of the answer that is not streamed, for checkers.
func (c Call) ExpectedWhole(requestID string) []byte { return c.whole(requestID) }
