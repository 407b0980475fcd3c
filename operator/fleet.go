package operator

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/result"
)

const (
	// fleetParallel bounds how many routers are asked at once.
	fleetParallel = 32
	// routerTimeout bounds the answer of one router to a fleet status.
	routerTimeout = 2 * time.Second
)

// fleetStatus asks every member for its status and merges the answers. A
// member that does not answer in time stands in it as unreachable.
func fleetStatus(ctx context.Context, backend Backend, detail bool) (Status, error) {
	members, err := backend.Members(ctx)
	if err != nil {
		return Status{}, err
	}
	parts := make([]Status, len(members))
	slots := make(chan struct{}, fleetParallel)
	var pending sync.WaitGroup
	for i, member := range members {
		slots <- struct{}{}
		pending.Go(func() {
			defer func() { <-slots }()
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
		return Status{Routers: []RouterStatus{unreachable(member, err)}}
	}
	for i := range status.Routers {
		status.Routers[i].Listed = true
		status.Routers[i].Leaving = member.Leaving
	}
	return status
}

func unreachable(member Member, err error) RouterStatus {
	detail := err.Error()
	var numbered *result.Error
	if errors.As(err, &numbered) {
		detail = numbered.Detail
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
