// Package load sends requests to routers as many callers would, and judges
// every answer: it must be whole and belong to its own request. Each request
// carries a mark from which the whole answer of the stand-in targets can be
// worked out, so a crossed or truncated answer cannot pass.
package load

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/standin/engine"
	"github.com/walnutcove/walnutcove/standin/service"
)

// Kind is the shape of a request.
type Kind int

// The kinds of request.
const (
	// Stream is a chat call answered by server-sent events.
	Stream Kind = iota
	// Whole is a chat call answered in one piece.
	Whole
	// Service is a call to a plain service.
	Service
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"stream", "whole", "service"}[k]
}

// Request is one request of a caller.
type Request struct {
	Kind Kind
	// Workspace names the caller's workspace, Key is its key.
	Workspace string
	Key       string
	// Mark is unique among the requests of a run.
	Mark string
	// Model and Path are what a chat or service call asks for.
	Model string
	Path  string
	// MaxTokens is the length of a chat answer, Millis that of a service call.
	MaxTokens int
	Millis    int
	// Prefix begins the prompt; equal prefixes hit the engines' cache.
	Prefix string
	// IdempotencyKey marks the request as non-idempotent.
	IdempotencyKey string
	// CostHint and Deadline are sent as headers unless zero.
	CostHint time.Duration
	Deadline time.Duration
}

func (r Request) prompt() string {
	return r.Prefix + " mark:" + r.Mark
}

// write fills an HTTP request for a router's address.
func (r Request) write(out *fasthttp.Request, router string) {
	out.Header.SetMethod(fasthttp.MethodPost)
	out.Header.Set("Authorization", "Bearer "+r.Key)
	out.Header.SetContentType("application/json")
	if r.IdempotencyKey != "" {
		out.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	if r.CostHint > 0 {
		out.Header.Set("Walnut-Cost-Hint", r.CostHint.String())
	}
	if r.Deadline > 0 {
		out.Header.Set("Walnut-Deadline", r.Deadline.String())
	}
	if r.Kind == Service {
		out.SetRequestURI("http://" + router + r.servicePath())
		out.SetBodyString("mark:" + r.Mark)
		return
	}
	out.SetRequestURI("http://" + router + engine.PathChat)
	out.SetBody(r.chatBody())
}

func (r Request) servicePath() string {
	if r.Millis == 0 {
		return r.Path
	}
	return fmt.Sprintf("%s?millis=%d", r.Path, r.Millis)
}

func (r Request) chatBody() []byte {
	body, err := json.Marshal(chatCall{
		Model:     r.Model,
		Stream:    r.Kind == Stream,
		MaxTokens: r.MaxTokens,
		Messages:  []chatMessage{{Role: "user", Content: r.prompt()}},
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return body
}

type chatCall struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// check compares a whole answer with the only right one. An empty result means
// that they are equal.
func (r Request) check(body []byte) string {
	switch r.Kind {
	case Service:
		return r.checkService(body)
	case Whole:
		return r.checkWhole(body)
	default:
		return r.checkStream(body)
	}
}

func (r Request) checkService(body []byte) string {
	var answer service.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return "the service's answer is not JSON"
	}
	if answer.Mark != r.Mark {
		return fmt.Sprintf("the answer's mark is %q", answer.Mark)
	}
	return ""
}

type chatAnswer struct {
	Choices []struct {
		Message chatMessage `json:"message"`
		Delta   chatMessage `json:"delta"`
	} `json:"choices"`
}

func (r Request) checkWhole(body []byte) string {
	var answer chatAnswer
	if err := json.Unmarshal(body, &answer); err != nil || len(answer.Choices) != 1 {
		return "the engine's answer is not a chat answer"
	}
	return r.checkText(answer.Choices[0].Message.Content)
}

const (
	eventPrefix = "data: "
	lastEvent   = "[DONE]"
)

func (r Request) checkStream(body []byte) string {
	var text strings.Builder
	ended := false
	for _, line := range strings.Split(string(body), "\n") {
		event, isData := strings.CutPrefix(line, eventPrefix)
		switch {
		case !isData:
			continue
		case event == lastEvent:
			ended = true
			continue
		}
		var answer chatAnswer
		if err := json.Unmarshal([]byte(event), &answer); err != nil || len(answer.Choices) != 1 {
			return "an event of the stream is not a chat answer"
		}
		text.WriteString(answer.Choices[0].Delta.Content)
	}
	if !ended {
		return "the stream ended cleanly without its last event"
	}
	return r.checkText(text.String())
}

func (r Request) checkText(got string) string {
	want := engine.ExpectedText(r.prompt(), r.MaxTokens)
	if got == want {
		return ""
	}
	return fmt.Sprintf("the text is %d bytes, want %d, or differs", len(got), len(want))
}
