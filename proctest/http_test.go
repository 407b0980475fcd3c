package proctest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
)

// httpClient is the client for all requests but those of the load.
var httpClient = &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// statusError reports an answer whose status is not a success.
type statusError struct {
	url    string
	status int
	body   string
}

func (e *statusError) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.url, e.status, e.body)
}

func post(url string, document, reply any) error {
	body, err := json.Marshal(document)
	if err != nil {
		return err
	}
	answer, err := httpClient.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return decode(url, answer, reply)
}

func get(url string, reply any) error {
	answer, err := httpClient.Get(url)
	if err != nil {
		return err
	}
	return decode(url, answer, reply)
}

func decode(url string, answer *http.Response, reply any) error {
	defer answer.Body.Close()
	var body bytes.Buffer
	if _, err := body.ReadFrom(answer.Body); err != nil {
		return err
	}
	if answer.StatusCode/100 != 2 {
		return &statusError{url: url, status: answer.StatusCode, body: body.String()}
	}
	if reply == nil {
		return nil
	}
	return json.Unmarshal(body.Bytes(), reply)
}
