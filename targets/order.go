package targets

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"
)

// PathOrder is where a target takes orders (POST) and tells the state that
// they led to (GET).
const PathOrder = "/_order"

const (
	// maxOrderStateBytes bounds an order state.
	maxOrderStateBytes = 1 << 20
	// maxOrderAnswerBytes bounds the answer to an order, which is not used.
	maxOrderAnswerBytes = 4 << 10
)

// Order tells a target to load and unload models or to change its role. Empty
// fields leave things as they are. Orders set state and do not count: the same
// order given twice is as good as once.
type Order struct {
	// LoadModel is loaded, unless it is loaded or being loaded.
	LoadModel string `json:"load_model,omitempty"`
	// KeepModels, if not empty, are the only models that may stay: all others
	// are unloaded. It does not load any.
	KeepModels []string `json:"keep_models,omitempty"`
	// Role is taken.
	Role string `json:"role,omitempty"`
}

// OrderState is what a target's orders led to.
type OrderState struct {
	// Models are loaded and serve.
	Models []string `json:"models"`
	// Loading are models being loaded.
	Loading []string `json:"loading,omitempty"`
	// Role is the role taken; empty if none was ordered.
	Role string `json:"role,omitempty"`
	// Fence is the highest fencing number seen; zero if the target keeps none.
	Fence uint64 `json:"fence,omitempty"`
}

// FencedError says that a target refused an order with an old fencing number.
type FencedError struct {
	// Highest is the highest fencing number that the target has seen; zero if
	// it does not say.
	Highest uint64
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("target: the order's fencing number is old, the target has seen %d", e.Highest)
}

// StatusError is an answer with a status that says nothing more.
type StatusError struct {
	// What was answered, for example "order".
	What   string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("target: %s has status %d", e.What, e.Status)
}

// OrderState asks a target what its orders led to.
func (c *HTTPClient) OrderState(ctx context.Context, address string) (OrderState, error) {
	req := Request{Address: address, Method: fasthttp.MethodGet, Path: PathOrder}
	resp, body, err := c.callWhole(ctx, req, c.orders, maxOrderStateBytes)
	if err != nil {
		return OrderState{}, err
	}
	if resp.Status != fasthttp.StatusOK {
		return OrderState{}, &StatusError{What: "order state", Status: resp.Status}
	}
	var state OrderState
	if err := json.Unmarshal(body, &state); err != nil {
		return OrderState{}, fmt.Errorf("target: order state: %w", err)
	}
	return state, nil
}

// GiveOrder sends an order with a fencing number. Nil says that the target has
// taken it; loading goes on after that. A *FencedError says that it refused the
// number. After any other error the order may have been taken.
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
	resp, _, err := c.callWhole(ctx, req, c.orders, maxOrderAnswerBytes)
	switch {
	case err != nil:
		return err
	case resp.Status == fasthttp.StatusConflict:
		highest, _ := strconv.ParseUint(resp.Header[HeaderFencingNumber], 10, 64)
		return &FencedError{Highest: highest}
	case resp.Status < 200 || resp.Status > 299:
		return &StatusError{What: "order", Status: resp.Status}
	}
	return nil
}

// callWhole makes a call and reads its short answer whole.
func (c *HTTPClient) callWhole(ctx context.Context, req Request, counters *counters, limit int64) (*Response, []byte, error) {
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
		return nil, nil, fmt.Errorf("target: answer of %s is over %d bytes", req.Path, limit)
	}
	return resp, body, nil
}
