package store

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// WeightFetch asks the weight store to let a target load weights.
type WeightFetch struct {
	// ID names the fetch. The caller picks it; asking again with the same ID
	// gives the same permit, so a lost reply does no harm. Required.
	ID string `json:"id"`
	// Artifact is the model, adapter or version to load. Required.
	Artifact string `json:"artifact"`
	// Target is the target that will load it. Required.
	Target string `json:"target"`
	// Bytes is the size of the artifact if the caller knows it; else zero.
	Bytes int64 `json:"bytes,omitempty"`
}

// WeightPermit is the weight store's answer to a WeightFetch.
type WeightPermit struct {
	// Granted says that the target may load now.
	Granted bool `json:"granted"`
	// BytesPerSecond is the rate that the target may load at, if granted.
	BytesPerSecond int64 `json:"bytes_per_second,omitempty"`
	// TimeLeft is how long a granted permit still holds, in nanoseconds.
	TimeLeft time.Duration `json:"time_left_ns,omitempty"`
	// RetryAfter is when to ask again if not granted, in nanoseconds.
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"`
}

// WeightRate is the present use of the weight store.
type WeightRate struct {
	// BytesPerSecond is the store's limit for all permits together.
	BytesPerSecond int64 `json:"bytes_per_second"`
	// Fetches and MaxFetches are the permits that hold now, and their limit.
	Fetches    int `json:"fetches"`
	MaxFetches int `json:"max_fetches"`
}

// Weights is the rate-limited weight store. Routers do not load weights; they
// ask it before they order a target to.
type Weights interface {
	// WeightsRate returns the present use of the store.
	WeightsRate(ctx context.Context) (WeightRate, error)
	// RequestFetch asks for a permit. It may be sent again after ErrUnknown.
	RequestFetch(ctx context.Context, fetch WeightFetch) (WeightPermit, error)
	// FinishFetch gives a permit back early. It may be sent again, and does
	// nothing if the permit is not known.
	FinishFetch(ctx context.Context, id string) error
}

// FinishFetchRequest is the body of FinishFetch.
type FinishFetchRequest struct {
	ID string `json:"id"`
}

// CheckFetch returns ErrInvalid unless fetch can be asked for.
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
	answer, err := c.post(ctx, opWeightsFetch, PathWeightsFetch, fetch)
	if err != nil {
		return permit, err
	}
	if err := json.Unmarshal(answer, &permit); err != nil {
		return permit, c.fail(opWeightsFetch, ErrUnknown, reasonBadReply, err)
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
