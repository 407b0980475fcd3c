package operator

import "github.com/walnutcove/walnutcove/config"

// Member is one router of the platform's list.
type Member struct {
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	// Leaving is set if the platform is about to stop the VM.
	Leaving bool `json:"leaving,omitempty"`
}

// StatusRequest asks for a status.
type StatusRequest struct {
	// Node is the router's name; empty for the one that is asked.
	Node string `json:"node,omitempty"`
	// Detail asks for Targets, Backlog and Shards besides Routers.
	Detail bool `json:"detail"`
}

// RouterState is the state of a router.
type RouterState string

// The states of a router.
const (
	// RouterStarting: no configuration version is in force yet.
	RouterStarting RouterState = "starting"
	// RouterReady: the router takes requests.
	RouterReady RouterState = "ready"
	// RouterDraining: the router finishes its requests and takes no new ones.
	RouterDraining RouterState = "draining"
	// RouterDrained: no shard and no request is left on the router.
	RouterDrained RouterState = "drained"
	// RouterUnreachable: the router did not answer the router that asked it.
	RouterUnreachable RouterState = "unreachable"
)

// TargetHealth is the health of a target as its scheduler sees it.
type TargetHealth string

// The states of a target.
const (
	// TargetLive: the target takes work.
	TargetLive TargetHealth = "live"
	// TargetSuspect: load polls or connections fail; the target gets no new work.
	TargetSuspect TargetHealth = "suspect"
	// TargetEvacuated: its data centre is being evacuated; it gets no new work until that ends.
	TargetEvacuated TargetHealth = "evacuated"
	// TargetLeaving: the target finishes its work and gets no new work.
	TargetLeaving TargetHealth = "leaving"
	// TargetUnknown: no load report has arrived yet.
	TargetUnknown TargetHealth = "unknown"
)

// RouterStatus is the state of one router.
type RouterStatus struct {
	Node       string `json:"node"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region,omitempty"`
	// Incarnation identifies one start of the process, in hex.
	Incarnation string      `json:"incarnation,omitempty"`
	State       RouterState `json:"state"`
	// Version is the configuration version in force; zero if none, or if the
	// router is unreachable.
	Version config.Version `json:"version"`
	// Listed is set if the router is in the platform's list of VMs.
	Listed bool `json:"listed"`
	// Leaving is set if the platform is about to stop the VM.
	Leaving bool `json:"leaving,omitempty"`
	// Waiting and Running count the requests that entered at this router.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// Error explains why the state is not known; empty otherwise.
	Error string `json:"error,omitempty"`
}

// TargetStatus is the state of one target as reported by the scheduler of its shard.
type TargetStatus struct {
	Name       string       `json:"name"`
	Pool       string       `json:"pool"`
	DataCentre string       `json:"data_centre"`
	Health     TargetHealth `json:"health"`
	// Running counts the granted runs; Slots is the scheduler's current limit on them.
	Running int `json:"running"`
	Slots   int `json:"slots"`
	// LoadAgeMillis is the age of the last load report; -1 if there is none.
	LoadAgeMillis int64 `json:"load_age_ms"`
	// Scheduler is the router that reports the target.
	Scheduler string `json:"scheduler"`
	// Orders is OrdersDone if the target is in its declared state. Otherwise it is
	// the reason why not, as in walnut_orders_refusals_total, or "pending",
	// "ordered" or "loading". It is empty if no state is declared for the target.
	Orders string `json:"orders,omitempty"`
}

// OrdersDone is the value of TargetStatus.Orders for a target in its declared state.
const OrdersDone = "done"

// WorkspaceBacklog counts one workspace's requests.
type WorkspaceBacklog struct {
	Workspace string `json:"workspace"`
	// Waiting and WaitingBytes count the requests held for a grant.
	Waiting      int   `json:"waiting"`
	WaitingBytes int64 `json:"waiting_bytes"`
	// Running counts the requests that run on targets.
	Running int `json:"running"`
}

// ShardStatus is the queue of one shard as reported by a router that schedules it.
// While two routers both act as the scheduler of a shard, it has two rows.
type ShardStatus struct {
	Pool       string `json:"pool"`
	DataCentre string `json:"data_centre"`
	// Scheduler is the router that schedules the shard.
	Scheduler string `json:"scheduler"`
	// Waiting counts tickets, Running grants, Slots the slots of the shard.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	Slots   int `json:"slots"`
}

// Status is the state of one router or, merged, of the fleet.
type Status struct {
	// Newest is the highest configuration version that a router reported.
	Newest config.Version `json:"newest"`
	// Routers holds one row for each router that was asked.
	Routers []RouterStatus `json:"routers"`
	// Targets and Shards come from the routers that schedule them. Backlog
	// counts requests at the routers where they entered.
	Targets []TargetStatus     `json:"targets,omitempty"`
	Backlog []WorkspaceBacklog `json:"backlog,omitempty"`
	Shards  []ShardStatus      `json:"shards,omitempty"`
}
