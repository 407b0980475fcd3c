package loadtest

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/control"
)

// Pattern is a named load.
type Pattern struct {
	Name string
	// Routers, Engines and Workspaces are the numbers of each.
	Routers, Engines, Workspaces int
	Engine                       EngineSpec
	// SlowEvery makes every SlowEvery-th engine SlowFactor times as slow; 0 means none.
	SlowEvery  int
	SlowFactor float64
	// PerSecond and FetchedPerSecond are declared for the pool, in tokens per second.
	PerSecond, FetchedPerSecond float64
	Kinds                       []Kind
	// HotFactor multiplies the load of the first workspace from HotFrom to HotTo.
	HotFactor      float64
	HotFrom, HotTo time.Duration
	// PowerLossAt is when all routers stop at once, for PowerLossFor; 0 means never.
	PowerLossAt, PowerLossFor time.Duration
	// StallAt is when the router that schedules the pool stops processing events for
	// StallFor, as if it had no processor time; 0 means never.
	StallAt, StallFor time.Duration
	// CrashEvery makes every CrashEvery-th engine crash at StallAt, for CrashFor; 0
	// means none. Their runs are sent again, to other engines.
	CrashEvery int
	CrashFor   time.Duration
	// SingleRouter makes all callers of the second workspace use one router.
	SingleRouter bool
	// UnreadRatio is the fraction of these callers' first tries that this router refuses
	// before reading them, as if it had no processor time. They are sent again through
	// any router, or through the same one if RetryAtSameRouter is set.
	UnreadRatio       float64
	RetryAtSameRouter bool
	// CutAtDeadline makes callers leave at their timeout, with or without the whole answer.
	CutAtDeadline bool
	// Length is the duration of arrivals.
	Length time.Duration
	// WarmUp is the time from the start whose requests are not counted.
	WarmUp time.Duration
	// Uneven makes the speeds of the targets differ, and the load change.
	Uneven Unevenness
	// Placement is who chooses the targets; empty: the routers.
	Placement Placement
}

// Kind is one kind of request.
type Kind struct {
	Name string
	// PerSecond is the number of requests per second.
	PerSecond float64
	// Groups and Items are how many different parts there are on each of the two levels
	// that requests share, and GroupTokens and ItemTokens their lengths.
	Groups, Items           int
	GroupTokens, ItemTokens int
	// OwnTokens and OutputTokens are mean lengths.
	OwnTokens, OutputTokens int
	// EstimateSpread is the standard deviation of the logarithm of the error of the length that
	// callers state; 0 means that they state the real one.
	EstimateSpread float64
	// Objective is the time to the first event, and Timeout how long callers wait.
	Objective, Timeout time.Duration
}

// WorkspaceResult is the outcome of the requests of one workspace.
type WorkspaceResult struct {
	Requests, InTime int
	// TokensAfterStall is the number of prompt tokens sent to engines in the stallWindow
	// from StallAt on.
	TokensAfterStall int
	// TokensResent is how many of these belong to requests that were sent again after a
	// crash.
	TokensResent int
}

// stallWindow is the time over which no workspace may get less than half of another.
const stallWindow = 6 * time.Second

// Result is the outcome of a simulation.
type Result struct {
	Requests, InTime, Late int
	// Refusals counts refused tries, not requests.
	Refusals int
	// TokensRead is the number of tokens read, TokensReread those of shared parts that
	// had been read before, and TokensFetched those that came from another engine.
	TokensRead, TokensReread, TokensFetched int
	// Starts counts the starts, and Predicted those that were predicted within a quarter
	// or 30 ms.
	Starts, Predicted int
	Workspaces        map[string]WorkspaceResult
	// Answers are the lengths of the answers that were asked for and of those that were
	// whole, by the name of the kind; if CutAtDeadline is set.
	Asked, Whole map[string][]int
	// Cut is the number of answers that had begun at their callers' deadline and were not whole.
	Cut int
	// EarlyLate counts the late starts of the first second, and ReturnLate those of the
	// second after a power loss.
	EarlyLate, ReturnLate int
	// Waits are the times from the arrival of each request to its first event, in order of the
	// events.
	Waits []time.Duration
}

// A prediction may be off by 1/maxErrorDivisor of the real time or by maxErrorTime.
const (
	maxErrorDivisor = 4
	maxErrorTime    = 30 * time.Millisecond
)

func (r *Result) recordStart(predicted, took time.Duration) {
	r.Starts++
	if off := (predicted - took).Abs(); off <= maxErrorTime || off <= took/maxErrorDivisor {
		r.Predicted++
	}
}

func (r *Result) recordFirstEvent(s *simulation, req *clientRequest) {
	if req.sentAt < s.pattern.WarmUp {
		return
	}
	r.Waits = append(r.Waits, s.now-req.sentAt)
	if s.now-req.sentAt <= req.kind.Objective {
		r.InTime++
		served := r.Workspaces[req.workspace]
		served.InTime++
		r.Workspaces[req.workspace] = served
		return
	}
	r.Late++
	if req.sentAt < time.Second {
		r.EarlyLate++
	}
	returnedAt := s.pattern.PowerLossAt + s.pattern.PowerLossFor
	if s.pattern.PowerLossAt > 0 && req.sentAt > returnedAt && req.sentAt < returnedAt+time.Second {
		r.ReturnLate++
	}
}

// PredictedRatio returns the fraction of the starts that were predicted.
func (r *Result) PredictedRatio() float64 { return float64(r.Predicted) / float64(max(1, r.Starts)) }

// InTimeRatio returns the fraction of the requests whose first event came in time.
func (r *Result) InTimeRatio() float64 { return float64(r.InTime) / float64(max(1, r.Requests)) }

// scheduleArrival schedules the next request of a kind.
func (s *simulation) scheduleArrival(kind *Kind) {
	pause := time.Duration(s.arrivalRNG.ExpFloat64() / (kind.PerSecond * s.pattern.Uneven.peak()) * float64(time.Second))
	s.after(pause, func() {
		if s.now > s.pattern.Length {
			return
		}
		if s.skipsArrival(kind) {
			s.scheduleArrival(kind)
			return
		}
		count := 1
		workspace := s.arrivalRNG.IntN(s.pattern.Workspaces)
		if workspace == 0 && s.now >= s.pattern.HotFrom && s.now < s.pattern.HotTo {
			count = int(s.pattern.HotFactor)
		}
		for range count {
			s.arrive(kind, workspaceName(workspace))
		}
		s.scheduleArrival(kind)
	})
}

// Prompt parts are numbered by kind and level.
const (
	groupBase = 1_000_000
	itemBase  = 2_000_000
	ownBase   = 1_000_000_000
	kindBase  = 10_000_000
)

func (s *simulation) arrive(kind *Kind, workspace string) {
	index := uint64(s.kindIndex(kind))
	item := s.arrivalRNG.IntN(kind.Items)
	s.arrivals++
	if s.now >= s.pattern.WarmUp {
		s.result.Requests++
	}
	parts := []control.PromptPart{
		{ID: kindBase*index + groupBase + uint64(item%kind.Groups), Tokens: kind.GroupTokens},
		{ID: kindBase*index + itemBase + uint64(item), Tokens: kind.ItemTokens},
		{ID: ownBase + uint64(s.arrivals), Tokens: s.randomLength(kind.OwnTokens)},
	}
	req := &clientRequest{kind: kind, workspace: workspace, sentAt: s.now, fingerprint: uint64(s.arrivals)}
	req.outputTokens = s.randomLength(kind.OutputTokens)
	req.work = control.Work{Parts: parts, OutputTokens: req.outputTokens}
	if kind.EstimateSpread > 0 {
		estimate := float64(req.outputTokens) * math.Exp(kind.EstimateSpread*s.arrivalRNG.NormFloat64())
		req.work.OutputTokens = max(1, int(min(estimate, float64(maxLengthFactor*kind.OutputTokens))))
	}
	s.recordAnswer(req, false)
	for _, part := range parts {
		req.work.PromptTokens += part.Tokens
	}
	served := s.result.Workspaces[workspace]
	served.Requests++
	s.result.Workspaces[workspace] = served
	s.send(req)
}

// kindIndex returns the position of a kind in the pattern.
func (s *simulation) kindIndex(kind *Kind) int {
	for i := range s.pattern.Kinds {
		if &s.pattern.Kinds[i] == kind {
			return i
		}
	}
	return 0
}

// randomLength draws a length with the given mean from a distribution as skewed as that
// of real prompts.
func (s *simulation) randomLength(mean int) int {
	return max(1, int(float64(mean)*min(maxLengthFactor, s.arrivalRNG.ExpFloat64())))
}

// maxLengthFactor is the longest length as a factor on the mean.
const maxLengthFactor = 4

// send sends a request to some router, each time as a new request with the same content.
func (s *simulation) send(req *clientRequest) {
	up := make([]*router, 0, len(s.routers))
	for _, r := range s.routers {
		if r.up {
			up = append(up, r)
		}
	}
	if len(up) == 0 || s.now-req.sentAt > req.kind.Timeout {
		return
	}
	req.tries++
	if s.baseline != nil {
		s.after(messageDelay, func() { s.baseline.enqueue(req) })
		return
	}
	via := up[s.routingRNG.IntN(len(up))]
	if s.pattern.SingleRouter && req.workspace == workspaceName(1) && (req.tries == 1 || s.pattern.UnreadRatio == 0 || s.pattern.RetryAtSameRouter) {
		via = up[len(up)-1]
		if s.routingRNG.Float64() < s.pattern.UnreadRatio {
			s.refuseUnread(via, req)
			return
		}
	}
	id := control.RequestID(len(s.requests) + 1)
	s.requests[id] = req
	s.requestGrant(via, id, 1, req.sentAt+req.kind.Objective, nil)
}

// requestGrant asks a router for a grant.
func (s *simulation) requestGrant(via *router, id control.RequestID, attempt uint32, objective control.Instant, excluded []string) {
	req := s.requests[id]
	s.step(via, control.RequestArrived{
		Request: id, Attempt: attempt, Workspace: req.workspace, Pool: pool,
		Deadline: req.sentAt + req.kind.Timeout, Objective: objective,
		Work: req.work, Fingerprint: req.fingerprint, Excluded: excluded,
	})
}

const (
	// unreadReportInterval is how often a router reports what it refused unread.
	unreadReportInterval = 200 * time.Millisecond
	// meanUnreadRetryAfter is the mean retry delay that a request gets which is refused
	// unread.
	meanUnreadRetryAfter = time.Second
)

// refuseUnread refuses a try before the router reads it. Its caller tries once more.
func (s *simulation) refuseUnread(via *router, req *clientRequest) {
	s.result.Refusals++
	if via.unread == nil {
		via.unread = make(map[string]int)
		s.after(unreadReportInterval, func() { s.reportUnread(via) })
	}
	via.unread[req.workspace]++
	s.after(meanUnreadRetryAfter/2+time.Duration(s.routingRNG.Int64N(int64(meanUnreadRetryAfter))), func() { s.send(req) })
}

// reportUnread passes a router's counts of unread refusals to its machine.
func (s *simulation) reportUnread(r *router) {
	counts := r.unread
	r.unread = nil
	for _, workspace := range slices.Sorted(maps.Keys(counts)) {
		s.step(r, control.RequestsRefusedUnread{Pool: pool, Workspace: workspace, Count: counts[workspace]})
	}
}

// recordAnswer counts an answer that is asked for, or that is whole.
func (s *simulation) recordAnswer(req *clientRequest, whole bool) {
	if !s.pattern.CutAtDeadline || req.sentAt < s.pattern.WarmUp {
		return
	}
	counts := &s.result.Asked
	if whole {
		counts = &s.result.Whole
	}
	if *counts == nil {
		*counts = make(map[string][]int)
	}
	(*counts)[req.kind.Name] = append((*counts)[req.kind.Name], req.outputTokens)
}

// servedRatio returns the fraction of the answers of a kind that were whole, and that of the tenth
// with the longest answers.
func (r *Result) servedRatio(kind string) (all, longest float64) {
	asked := slices.Sorted(slices.Values(r.Asked[kind]))
	if len(asked) == 0 {
		return 0, 0
	}
	from := asked[len(asked)*9/10]
	long := func(lengths []int) (count int) {
		for _, length := range lengths {
			if length >= from {
				count++
			}
		}
		return count
	}
	whole := r.Whole[kind]
	return float64(len(whole)) / float64(len(asked)), float64(long(whole)) / float64(long(asked))
}
