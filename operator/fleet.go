package operator

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/result"
)

const (
	// maxParallelStatuses is how many routers are asked at once, at most.
	maxParallelStatuses = 32
	// routerTimeout bounds the wait for one router's part of a fleet status.
	routerTimeout = 2 * time.Second
)

// fleetStatus asks every member for its status and merges the answers. A
// member that does not answer in time is listed as unreachable.
func fleetStatus(ctx context.Context, backend Backend, detail bool) (Status, error) {
	members, err := backend.Members(ctx)
	if err != nil {
		return Status{}, err
	}
	parts := make([]Status, len(members))
	semaphore := make(chan struct{}, maxParallelStatuses)
	var pending sync.WaitGroup
	for i, member := range members {
		semaphore <- struct{}{}
		pending.Go(func() {
			defer func() { <-semaphore }()
			parts[i] = memberStatus(ctx, backend, member, detail)
		})
	}
	pending.Wait()
	return MergeStatus(parts), nil
}

func memberStatus(ctx context.Context, backend Backend, member Member, detail bool) Status {
	ctx, cancel := context.WithTimeout(ctx, routerTimeout)
	defer cancel()
	status, err := backend.Status(ctx, StatusRequest{Node: member.Node, Detail: detail})
	if err == nil && len(status.Routers) == 0 {
		err = errors.New("the answer holds no router")
	}
	if err != nil {
		return Status{Routers: []RouterStatus{unreachableStatus(member, err)}}
	}
	for i := range status.Routers {
		status.Routers[i].Listed = true
		status.Routers[i].Leaving = member.Leaving
	}
	return status
}

func unreachableStatus(member Member, err error) RouterStatus {
	detail := err.Error()
	var coded *result.Error
	if errors.As(err, &coded) {
		detail = coded.Detail
	}
	return RouterStatus{
		Node:       member.Node,
		DataCentre: member.DataCentre,
		State:      RouterUnreachable,
		Listed:     true,
		Leaving:    member.Leaving,
		Error:      detail,
	}
}
