package engine

import (
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/standin/internal/host"
	"github.com/walnutcove/walnutcove/standin/journal"
	"github.com/walnutcove/walnutcove/target"
)

// PathOrder takes orders (POST) and shows what was ordered (GET).
const PathOrder = "/_order"

// Order tells an engine to load a model or to change its role. Empty fields
// leave things as they are.
type Order struct {
	// LoadModel names the model to load.
	LoadModel string `json:"load_model,omitempty"`
	// Role names the role to take.
	Role string `json:"role,omitempty"`
}

// OrderState is what the orders taken so far add up to.
type OrderState struct {
	Models []string `json:"models"`
	Role   string   `json:"role"`
	// Fence is the highest fencing number seen.
	Fence uint64 `json:"fence"`
}

// orderBook is the state behind the orders. The engine's lock guards it.
type orderBook struct{ state OrderState }

// Orders returns what the orders taken so far add up to.
func (e *Engine) Orders() OrderState {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.orders.state
	state.Models = append([]string(nil), state.Models...)
	return state
}

func (e *Engine) serveOrder(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		host.WriteJSON(ctx, e.Orders())
		return
	}
	var order Order
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseUint(string(ctx.Request.Header.Peek(target.HeaderFencingNumber)), 10, 64)
	accepted := e.apply(order, fence)
	entry := journal.Entry{Event: journal.Order, Path: PathOrder, Fence: fence, Outcome: journal.Accepted}
	entry.RequestID = string(ctx.Request.Header.Peek(target.HeaderRequestID))
	if !accepted {
		entry.Outcome = journal.Fenced
		ctx.Error("old fencing number", fasthttp.StatusConflict)
	}
	e.host.Journal.Add(entry)
}

// apply takes an order unless its fencing number is old and the engine checks.
func (e *Engine) apply(order Order, fence uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := &e.orders.state
	if e.options.ChecksFencing && fence < state.Fence {
		return false
	}
	state.Fence = max(state.Fence, fence)
	if order.LoadModel != "" {
		state.Models = append(state.Models, order.LoadModel)
	}
	if order.Role != "" {
		state.Role = order.Role
	}
	return true
}
