// Package load generates load: it sends requests to routers as many concurrent
// callers would and verifies every answer, which must be complete and belong to
// its own request. Each request carries a unique mark from which the complete
// answer of the stand-in targets can be computed, so that an answer to another
// request or a truncated one is detected.
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
	// Stream is a chat call that is answered with server-sent events.
	Stream Kind = iota
	// NonStreaming is a chat call that is answered with a single JSON document.
	NonStreaming
	// Service is a call to a plain service, not to an engine.
	Service
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"stream", "whole", "service"}[k]
}

// Request describes one request of a caller.
type Request struct {
	Kind Kind
	// Workspace names the caller's workspace; Key is that workspace's API key.
	Workspace string
	Key       string
	// Mark identifies the request; it is unique within a run.
	Mark string
	// Model is the model that a chat call names, Path the path of a service call.
	Model string
	Path  string
	// MaxTokens is the length of a chat answer in tokens. Millis is the duration
	// of a service call in milliseconds; zero means the service's default.
	MaxTokens int
	Millis    int
	// Prefix is the beginning of the prompt. Requests with equal prefixes hit the
	// engines' prefix cache.
	Prefix string
	// IdempotencyKey, if set, is sent as a header and marks the request as
	// non-idempotent.
	IdempotencyKey string
	// CostHint and Deadline are sent as headers unless they are zero.
	CostHint time.Duration
	Deadline time.Duration
}

func (r Request) prompt() string {
	return r.Prefix + " mark:" + r.Mark
}

// fillHTTP fills in the HTTP request to send to a router's address.
func (r Request) fillHTTP(httpRequest *fasthttp.Request, router string) {
	httpRequest.Header.SetMethod(fasthttp.MethodPost)
	httpRequest.Header.Set("Authorization", "Bearer "+r.Key)
	httpRequest.Header.SetContentType("application/json")
	if r.IdempotencyKey != "" {
		httpRequest.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	if r.CostHint > 0 {
		httpRequest.Header.Set("Walnut-Cost-Hint", r.CostHint.String())
	}
	if r.Deadline > 0 {
		httpRequest.Header.Set("Walnut-Deadline", r.Deadline.String())
	}
	if r.Kind == Service {
		httpRequest.SetRequestURI("http://" + router + r.servicePath())
		httpRequest.SetBodyString("mark:" + r.Mark)
		return
	}
	httpRequest.SetRequestURI("http://" + router + engine.PathChat)
	httpRequest.SetBody(r.chatBody())
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
		panic(err) // strings and numbers can always be encoded
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

// checkBody compares the body of an answer with the only correct one. It
// describes the difference; an empty result means that there is none.
func (r Request) checkBody(body []byte) string {
	switch r.Kind {
	case Service:
		return r.checkService(body)
	case NonStreaming:
		return r.checkNonStreaming(body)
	default:
		return r.checkStream(body)
	}
}

func (r Request) checkService(body []byte) string {
	var answer service.Answer
	if err := json.Unmarshal(body, &answer); err != nil {
		return "the service's answer is not valid JSON"
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

func (r Request) checkNonStreaming(body []byte) string {
	var answer chatAnswer
	if err := json.Unmarshal(body, &answer); err != nil || len(answer.Choices) != 1 {
		return "the engine's answer is not a chat completion with one choice"
	}
	return r.checkText(answer.Choices[0].Message.Content)
}

const (
	eventPrefix   = "data: "
	lastEventData = "[DONE]"
)

func (r Request) checkStream(body []byte) string {
	var text strings.Builder
	sawLastEvent := false
	for _, line := range strings.Split(string(body), "\n") {
		event, isData := strings.CutPrefix(line, eventPrefix)
		switch {
		case !isData:
			continue
		case event == lastEventData:
			sawLastEvent = true
			continue
		}
		var answer chatAnswer
		if err := json.Unmarshal([]byte(event), &answer); err != nil || len(answer.Choices) != 1 {
			return "an event of the stream is not a chat completion chunk with one choice"
		}
		text.WriteString(answer.Choices[0].Delta.Content)
	}
	if !sawLastEvent {
		return "the stream ended cleanly without its last event"
	}
	return r.checkText(text.String())
}

func (r Request) checkText(got string) string {
	want := engine.ExpectedText(r.prompt(), r.MaxTokens)
	if got == want {
		return ""
	}
	return fmt.Sprintf("the text has %d bytes, expected %d, or its content differs", len(got), len(want))
}
