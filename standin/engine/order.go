package engine

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/walnutcove/walnutcove/dialect"
	"github.com/walnutcove/walnutcove/standin/internal/host"
	"github.com/walnutcove/walnutcove/standin/journal"
	"github.com/walnutcove/walnutcove/targets"
)

// PathOrder is the path to send an order to (POST), and to read the state that results
// from the orders (GET).
const PathOrder = targets.PathOrder

// orderState is the state that results from the orders. Engine.mu guards it.
type orderState struct {
	models       []string
	role         string
	highestFence uint64
	loading      map[string]*time.Timer
}

// Orders returns the state that results from the orders carried out so far.
func (e *Engine) Orders() targets.OrderState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return targets.OrderState{
		Models:  append([]string{}, e.orders.models...),
		Loading: slices.Sorted(maps.Keys(e.orders.loading)),
		Role:    e.orders.role,
		Fence:   e.orders.highestFence,
	}
}

func (e *Engine) serveOrder(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		host.WriteJSON(ctx, e.Orders())
		return
	}
	var order targets.Order
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseUint(string(ctx.Request.Header.Peek(targets.HeaderFencingNumber)), 10, 64)
	entry := journal.Entry{Event: journal.Order, Path: PathOrder, Fence: fence, Model: order.LoadModel, Role: order.Role}
	entry.RequestID = string(ctx.Request.Header.Peek(dialect.HeaderRequestID))
	if highest := e.applyOrder(order, entry); highest > 0 {
		ctx.Error("old fencing number", fasthttp.StatusConflict)
		ctx.Response.Header.Set(targets.HeaderFencingNumber, strconv.FormatUint(highest, 10))
	}
}

// applyOrder carries out an order and adds it to the journal. If the engine checks
// fencing numbers and that of the order is old, it refuses the order and returns
// the highest number received; otherwise it returns zero.
func (e *Engine) applyOrder(order targets.Order, entry journal.Entry) (highest uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry.Outcome = journal.Accepted
	if e.options.ChecksFencing && entry.Fence < e.orders.highestFence {
		entry.Outcome = journal.Fenced
		e.host.Journal.Add(entry)
		return e.orders.highestFence
	}
	e.host.Journal.Add(entry)
	e.orders.highestFence = max(e.orders.highestFence, entry.Fence)
	if len(order.KeepModels) > 0 {
		e.unloadOthers(order.KeepModels)
	}
	e.startLoading(order.LoadModel)
	if order.Role != "" {
		e.orders.role = order.Role
	}
	return 0
}

// unloadOthers unloads all models except those in keep, and stops loading them. The
// caller holds e.mu.
func (e *Engine) unloadOthers(keep []string) {
	e.orders.models = slices.DeleteFunc(e.orders.models, func(model string) bool {
		return !slices.Contains(keep, model)
	})
	for model := range e.orders.loading {
		if !slices.Contains(keep, model) {
			e.endLoading(model, journal.Cancelled)
		}
	}
}

// startLoading begins to load a model unless it is loaded or being loaded. The
// caller holds e.mu.
func (e *Engine) startLoading(model string) {
	if model == "" || e.orders.loading[model] != nil || slices.Contains(e.orders.models, model) {
		return
	}
	e.host.Journal.Add(journal.Entry{Event: journal.LoadStarted, Model: model})
	if e.options.LoadTime <= 0 {
		e.endLoading(model, journal.Loaded)
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(e.options.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.orders.loading[model] == timer {
			e.endLoading(model, journal.Loaded)
		}
	})
	e.orders.loading[model] = timer
}

// endLoading ends the loading of a model with an outcome. The caller holds e.mu.
func (e *Engine) endLoading(model string, outcome journal.Outcome) {
	if timer := e.orders.loading[model]; timer != nil {
		timer.Stop()
	}
	delete(e.orders.loading, model)
	if outcome == journal.Loaded {
		e.orders.models = append(e.orders.models, model)
	}
	e.host.Journal.Add(journal.Entry{Event: journal.LoadEnded, Model: model, Outcome: outcome})
}

// resetOrders clears the state of the orders and ends the loading of models with
// an outcome.
func (e *Engine) resetOrders(outcome journal.Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for model := range e.orders.loading {
		e.endLoading(model, outcome)
	}
	e.orders = orderState{loading: e.orders.loading}
}
