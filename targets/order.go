package targets

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"
)

// PathOrder is the path at which a target accepts orders (POST) and reports the resulting state
// (GET).
const PathOrder = "/_order"

const (
	// maxOrderStateBytes bounds the size of an order state.
	maxOrderStateBytes = 1 << 20
	// maxOrderAnswerBytes bounds the size of the answer to an order, which is not used.
	maxOrderAnswerBytes = 4 << 10
)

// Order instructs a target to load and unload models or to change its role. Empty fields leave the
// respective state unchanged. Orders are idempotent: they set a state, so sending one twice has
// the same effect as sending it once.
type Order struct {
	// LoadModel is the model to load, unless it is loaded or being loaded.
	LoadModel string `json:"load_model,omitempty"`
	// KeepModels, if not empty, lists the only models that may stay: all others are unloaded.
	// It does not load any.
	KeepModels []string `json:"keep_models,omitempty"`
	// Role is the role to take.
	Role string `json:"role,omitempty"`
}

// OrderState is the state of a target that results from its orders.
type OrderState struct {
	// Models are the models that are loaded and serving.
	Models []string `json:"models"`
	// Loading are the models being loaded.
	Loading []string `json:"loading,omitempty"`
	// Role is the current role; empty if none was ordered.
	Role string `json:"role,omitempty"`
	// Fence is the highest fencing number seen; zero if the target does not track any.
	Fence uint64 `json:"fence,omitempty"`
}

// FencedError reports that a target refused an order with an old fencing number.
type FencedError struct {
	// Highest is the highest fencing number that the target has seen; zero if it does not
	// report it.
	Highest uint64
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("target: stale fencing number in order, the target has seen %d", e.Highest)
}

// StatusError is an answer with an unexpected status and no further details.
type StatusError struct {
	// Subject is what was requested, for example "order".
	Subject string
	Status  int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("target: %s has status %d", e.Subject, e.Status)
}

// OrderState requests the state that results from a target's orders.
func (c *HTTPClient) OrderState(ctx context.Context, address string) (OrderState, error) {
	req := Request{Address: address, Method: fasthttp.MethodGet, Path: PathOrder}
	resp, body, err := c.callAndRead(ctx, req, c.orders, maxOrderStateBytes)
	if err != nil {
		return OrderState{}, err
	}
	if resp.Status != fasthttp.StatusOK {
		return OrderState{}, &StatusError{Subject: "order state", Status: resp.Status}
	}
	var state OrderState
	if err := json.Unmarshal(body, &state); err != nil {
		return OrderState{}, fmt.Errorf("target: order state: %w", err)
	}
	return state, nil
}

// GiveOrder sends an order with a fencing number. Nil means that the target has accepted it;
// loading continues after that. A *FencedError means that it refused the number. After any
// other error the order may have been accepted.
func (c *HTTPClient) GiveOrder(ctx context.Context, address string, order Order, fence uint64) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("target: order: %w", err)
	}
	req := Request{
		Address: address,
		Method:  fasthttp.MethodPost,
		Path:    PathOrder,
		Header:  map[string]string{fasthttp.HeaderContentType: "application/json"},
		Body:    body,
		Fence:   fence,
	}
	resp, _, err := c.callAndRead(ctx, req, c.orders, maxOrderAnswerBytes)
	switch {
	case err != nil:
		return err
	case resp.Status == fasthttp.StatusConflict:
		highest, _ := strconv.ParseUint(resp.Header[HeaderFencingNumber], 10, 64)
		return &FencedError{Highest: highest}
	case resp.Status < 200 || resp.Status > 299:
		return &StatusError{Subject: "order", Status: resp.Status}
	}
	return nil
}

// callAndRead makes a call and reads its short answer completely.
func (c *HTTPClient) callAndRead(ctx context.Context, req Request, counters *counters, limit int64) (*Response, []byte, error) {
	resp, err := c.call(ctx, req, counters)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, nil, err
	}
	if int64(len(body)) > limit {
		return nil, nil, fmt.Errorf("target: answer to %s exceeds %d bytes", req.Path, limit)
	}
	return resp, body, nil
}
