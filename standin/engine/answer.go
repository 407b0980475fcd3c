package engine

import "encoding/json"

const (
	// doneEvent ends a stream of server-sent events.
	doneEvent = "data: [DONE]\n\n"
	// finishReasonLength is the finish reason of every answer, as each one is
	// max_tokens long.
	finishReasonLength = "length"
)

type delta struct {
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *delta   `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// eventBytes encodes the server-sent event of token i.
func (c Call) eventBytes(requestID, mark string, i int) []byte {
	text := token(mark, i)
	a := answer{ID: answerID(requestID), Model: c.Model, Object: "text_completion"}
	part := choice{Text: &text}
	if c.Chat {
		a.Object = "chat.completion.chunk"
		part = choice{Delta: &delta{Content: text}}
	}
	if i == c.MaxTokens-1 {
		reason := finishReasonLength
		part.FinishReason = &reason
	}
	a.Choices = []choice{part}
	data := mustEncode(a)
	out := make([]byte, 0, len(data)+len("data: \n\n"))
	out = append(out, "data: "...)
	out = append(out, data...)
	return append(out, "\n\n"...)
}

// bodyJSON encodes the answer to a call that does not ask for a stream.
func (c Call) bodyJSON(requestID string) []byte {
	text := ExpectedText(c.Prompt, c.MaxTokens)
	reason := finishReasonLength
	a := answer{ID: answerID(requestID), Model: c.Model, Object: "text_completion"}
	part := choice{Text: &text, FinishReason: &reason}
	if c.Chat {
		a.Object = "chat.completion"
		part = choice{Message: &message{Role: "assistant", Content: text}, FinishReason: &reason}
	}
	a.Choices = []choice{part}
	prompt := promptTokens(c.Prompt)
	a.Usage = &usage{PromptTokens: prompt, CompletionTokens: c.MaxTokens, TotalTokens: prompt + c.MaxTokens}
	return mustEncode(a)
}

func answerID(requestID string) string { return "cmpl-" + requestID }

// bytesPerToken is the assumed length of a prompt's tokens.
const bytesPerToken = 4

func promptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// mustEncode encodes a value that can always be encoded.
func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
