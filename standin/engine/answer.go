package engine

import "encoding/json"

const (
	// doneEvent ends a stream of server-sent events.
	doneEvent = "data: [DONE]\n\n"
	// finishLength is the finish reason of every answer: it ran to max_tokens.
	finishLength = "length"
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

// event renders the server-sent event of token i.
func (c Call) event(requestID, mark string, i int) []byte {
	text := token(mark, i)
	a := answer{ID: answerID(requestID), Model: c.Model, Object: "text_completion"}
	part := choice{Text: &text}
	if c.Chat {
		a.Object = "chat.completion.chunk"
		part = choice{Delta: &delta{Content: text}}
	}
	if i == c.MaxTokens-1 {
		reason := finishLength
		part.FinishReason = &reason
	}
	a.Choices = []choice{part}
	data := mustJSON(a)
	out := make([]byte, 0, len(data)+len("data: \n\n"))
	out = append(out, "data: "...)
	out = append(out, data...)
	return append(out, "\n\n"...)
}

// whole renders the answer that is not streamed.
func (c Call) whole(requestID string) []byte {
	text := ExpectedText(c.Prompt, c.MaxTokens)
	reason := finishLength
	a := answer{ID: answerID(requestID), Model: c.Model, Object: "text_completion"}
	part := choice{Text: &text, FinishReason: &reason}
	if c.Chat {
		a.Object = "chat.completion"
		part = choice{Message: &message{Role: "assistant", Content: text}, FinishReason: &reason}
	}
	a.Choices = []choice{part}
	prompt := promptTokens(c.Prompt)
	a.Usage = &usage{PromptTokens: prompt, CompletionTokens: c.MaxTokens, TotalTokens: prompt + c.MaxTokens}
	return mustJSON(a)
}

func answerID(requestID string) string { return "cmpl-" + requestID }

// bytesPerToken is the rough length of a token of a prompt.
const bytesPerToken = 4

func promptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// mustJSON marshals a value that always can be.
func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
