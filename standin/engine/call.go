package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/walnutcove/walnutcove/standin/internal/host"
	"github.com/walnutcove/walnutcove/targets"
)

// Paths of the completion calls.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
)

// defaultMaxTokens is the length of an answer if the request does not set
// max_tokens.
const defaultMaxTokens = 16

// Call is a parsed completion request.
type Call struct {
	// Chat is set for a chat completion; otherwise the call is a plain completion.
	Chat bool
	// Stream asks for server-sent events.
	Stream bool
	// Model is the model's name, which the answer repeats.
	Model string
	// Prompt is the prompt, or the contents of all chat messages joined by line
	// breaks.
	Prompt string
	// PrefixHash is the hash of the beginning of the prompt; see
	// targets.PrefixHash.
	PrefixHash uint64
	// MaxTokens is the length of the answer in tokens. Default 16.
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

// setPrompt sets Prompt and PrefixHash from the prompt or the chat messages.
func (c *Call) setPrompt(parsed callBody) error {
	if !c.Chat {
		c.PrefixHash = targets.PrefixHash(parsed.Prompt)
		return unmarshalOptional(parsed.Prompt, &c.Prompt)
	}
	var messages []message
	if err := unmarshalOptional(parsed.Messages, &messages); err != nil {
		return err
	}
	c.PrefixHash = targets.PrefixHash(parsed.Messages)
	c.Prompt = joinMessages(messages)
	return nil
}

// unmarshalOptional decodes one member of the body. If it is absent, into is left
// unchanged.
func unmarshalOptional(member json.RawMessage, into any) error {
	if len(member) == 0 {
		return nil
	}
	if err := json.Unmarshal(member, into); err != nil {
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

// ExpectedText returns the text of the answer to a prompt. Each token consists of
// the prompt's mark ("mark:XXXX"), or of the prompt's hash if it has none, and of
// the token's number.
func ExpectedText(prompt string, maxTokens int) string {
	var text strings.Builder
	mark := host.Mark(prompt)
	for i := range maxTokens {
		text.WriteString(token(mark, i))
	}
	return text.String()
}

// token returns token i of an answer. The token needs no escaping in JSON.
func token(mark string, i int) string {
	return fmt.Sprintf("%s.%d ", mark, i)
}

// ExpectedStreamBody returns the complete body of the streamed answer to the call,
// for tests to compare with.
func (c Call) ExpectedStreamBody(requestID string) []byte {
	var body []byte
	mark := host.Mark(c.Prompt)
	for i := range c.MaxTokens {
		body = append(body, c.eventBytes(requestID, mark, i)...)
	}
	return append(body, doneEvent...)
}

// ExpectedBody returns the complete body of the non-streamed answer to the call, for
// tests to compare with.
func (c Call) ExpectedBody(requestID string) []byte { return c.bodyJSON(requestID) }
