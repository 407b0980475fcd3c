package store

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// WeightFetch is a request to the weight store for a permit to load weights to a
// target.
type WeightFetch struct {
	// ID identifies the fetch and is chosen by the caller. A repeated request with
	// the same ID returns the same permit, so a lost reply is harmless. Required.
	ID string `json:"id"`
	// Artifact is the model, adapter or version to load. Required.
	Artifact string `json:"artifact"`
	// Target is the target that will load it. Required.
	Target string `json:"target"`
	// Bytes is the size of the artifact; zero: not known.
	Bytes int64 `json:"bytes,omitempty"`
}

// WeightPermit is the weight store's response to a WeightFetch.
type WeightPermit struct {
	// Granted reports whether the target may load now.
	Granted bool `json:"granted"`
	// BytesPerSecond is the rate at which the target may load, if granted.
	BytesPerSecond int64 `json:"bytes_per_second,omitempty"`
	// TimeLeft is the remaining validity of a granted permit, in nanoseconds.
	TimeLeft time.Duration `json:"time_left_ns,omitempty"`
	// RetryAfter is the time after which to ask again if not granted, in
	// nanoseconds.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}

// WeightRate is the current utilisation of the weight store and its limits.
type WeightRate struct {
	// BytesPerSecond is the store's rate limit for all permits together.
	BytesPerSecond int64 `json:"bytes_per_second"`
	// Fetches is the number of valid permits, MaxFetches its limit.
	Fetches    int `json:"fetches"`
	MaxFetches int `json:"max_fetches"`
}

// Weights is the rate-limited weight store. Routers do not load weights
// themselves; they request a permit before they order a target to load weights.
type Weights interface {
	// WeightsRate returns the current utilisation of the store.
	WeightsRate(ctx context.Context) (WeightRate, error)
	// RequestFetch requests a permit. It may be repeated after ErrUnknown.
	RequestFetch(ctx context.Context, fetch WeightFetch) (WeightPermit, error)
	// FinishFetch returns a permit before it expires. It may be repeated, and has
	// no effect if the permit is not known.
	FinishFetch(ctx context.Context, id string) error
}

// FinishFetchRequest is the body of FinishFetch.
type FinishFetchRequest struct {
	ID string `json:"id"`
}

// CheckFetch returns ErrInvalid unless fetch is well formed.
func CheckFetch(fetch WeightFetch) error {
	if err := CheckName("id", fetch.ID); err != nil {
		return err
	}
	if err := CheckName("artifact", fetch.Artifact); err != nil {
		return err
	}
	if fetch.Bytes < 0 {
		return fmt.Errorf("%w: bytes are negative", ErrInvalid)
	}
	return CheckName("target", fetch.Target)
}

// WeightsRate implements Weights.
func (c *Client) WeightsRate(ctx context.Context) (WeightRate, error) {
	var rate WeightRate
	err := c.readJSON(ctx, call{op: opWeightsRate, path: PathWeightsRate}, &rate)
	return rate, err
}

// RequestFetch implements Weights.
func (c *Client) RequestFetch(ctx context.Context, fetch WeightFetch) (WeightPermit, error) {
	var permit WeightPermit
	if err := CheckFetch(fetch); err != nil {
		return permit, err
	}
	body, err := c.post(ctx, opWeightsFetch, PathWeightsFetch, fetch)
	if err != nil {
		return permit, err
	}
	if err := json.Unmarshal(body, &permit); err != nil {
		return permit, c.newFailure(opWeightsFetch, ErrUnknown, reasonBadReply, err)
	}
	return permit, nil
}

// FinishFetch implements Weights.
func (c *Client) FinishFetch(ctx context.Context, id string) error {
	if err := CheckName("id", id); err != nil {
		return err
	}
	_, err := c.post(ctx, opWeightsFinish, PathWeightsFinish, FinishFetchRequest{ID: id})
	return err
}

// post makes a write with a JSON body, within the write budget.
func (c *Client) post(ctx context.Context, op operation, path string, body any) ([]byte, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return c.write(ctx, call{op: op, method: fasthttp.MethodPost, path: path, body: encoded})
}
