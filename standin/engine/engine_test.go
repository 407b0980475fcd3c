package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/walnutcove/walnutcove/target"
)

func startEngine(t *testing.T, options Options) (*Engine, string) {
	t.Helper()
	e := New(options)
	address, err := e.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e, address
}

func newClient(t *testing.T) *target.HTTPClient {
	t.Helper()
	c := target.NewHTTPClient(target.Options{})
	t.Cleanup(func() { c.Close() })
	return c
}

func call(id, address, prompt string, tokens int, stream bool) target.Request {
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":%v}`,
		prompt, tokens, stream)
	return target.Request{
		ID: id, Address: address, Method: "POST", Path: PathChat, Body: []byte(body),
		Header: map[string]string{"Content-Type": "application/json"},
	}
}

// streamText joins the contents of a stream's events.
func streamText(t *testing.T, body string) string {
	t.Helper()
	var text strings.Builder
	events := strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n")
	for _, event := range events[:len(events)-1] {
		var a answer
		if err := json.Unmarshal([]byte(strings.TrimPrefix(event, "data: ")), &a); err != nil {
			t.Fatalf("event %q: %v", event, err)
		}
		text.WriteString(a.Choices[0].Delta.Content)
	}
	if last := events[len(events)-1]; last+"\n\n" != doneEvent {
		t.Fatalf("last event is %q", last)
	}
	return text.String()
}

func TestStreamAndWholeAnswersCarryTheExpectedText(t *testing.T) {
	_, address := startEngine(t, Options{})
	client := newClient(t)
	const prompt = "please mark:abc-1 now"
	resp, err := client.Do(context.Background(), call("r1", address, prompt, 20, true))
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if got := streamText(t, string(body)); got != ExpectedText(prompt, 20) || !strings.HasPrefix(got, "abc-1.0 ") {
		t.Fatalf("streamed text is %q", got)
	}
	resp, err = client.Do(context.Background(), call("r2", address, prompt, 20, false))
	if err != nil {
		t.Fatal(err)
	}
	body, err = io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	var a answer
	if err := json.Unmarshal(body, &a); err != nil {
		t.Fatal(err)
	}
	if got := a.Choices[0].Message.Content; got != ExpectedText(prompt, 20) {
		t.Fatalf("whole text is %q", got)
	}
}
