// Package workload keeps the workspaces of a deployment backlogged, in one of
// several patterns of work that experiments share.
package workload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/walnutcove/walnutcove/bench/fleet"
	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/load"
)

// Deployment is the size of one of today's users.
type Deployment struct {
	Name        string
	DataCentres []string
	Targets     int
	Slots       int
	Step        time.Duration
}

// Deployments are both users' sizes of today, without their plain services.
var Deployments = map[string]Deployment{
	"ilesanmi": {
		Name:        "ilesanmi",
		DataCentres: []string{"ikeja", "lekki", "yaba"},
		Targets:     9,
		Slots:       4,
		Step:        2 * time.Millisecond,
	},
	"agroservis": {
		Name:        "agroservis",
		DataCentres: []string{"za-1", "za-2", "za-3", "za-4"},
		Targets:     18,
		Slots:       2,
		Step:        4 * time.Millisecond,
	},
}

// The configuration of every deployment here.
const (
	// Workspaces is how many workspaces send.
	Workspaces = 16
	// Pool and Model name the only pool and its model.
	Pool  = "shared"
	Model = "walnut-small"
)

const (
	// minTokens and maxTokens bound the answers, which cost a hundredfold of
	// one another, evenly spread over the orders of magnitude.
	minTokens = 2
	maxTokens = 200
	// tinyTokens is the length of many tiny requests.
	tinyTokens = 10
	// callersEach is how many requests each workspace keeps in flight.
	callersEach = 10
	// impatience is how long impatient callers let a request wait.
	impatience = 250 * time.Millisecond
	// floodFactor is how many times the callers of others a flood has.
	floodFactor = 50
)

// Shape is a pattern of work.
type Shape struct {
	Name string
	// Share returns the share of workspace n.
	Share func(n int) float64
	// Callers returns how many requests workspace n keeps in flight.
	Callers func(n int) int
	// OneRouter says that workspace n enters through the first router only.
	OneRouter func(n int) bool
	// Targets narrows workspace n to some targets; nil for all.
	Targets func(n int, d Deployment) []string
	// Hint returns the cost hint of a request of workspace n.
	Hint func(n int, cost time.Duration) time.Duration
	// Tokens returns the length of the answer to a request of workspace n.
	Tokens func(n int, random *rand.Rand) int
	// Deadline returns how long requests of workspace n may wait.
	Deadline func(n int) time.Duration
}

// Shapes are the patterns of work, by name.
var Shapes = map[string]Shape{
	"burst":      {},
	"one-router": {OneRouter: func(n int) bool { return n == 0 }, Callers: largeFirst},
	"flood":      {Callers: floodFirst},
	"hints":      {Hint: roughAbsentDishonest},
	"subsets":    {Targets: everyThirdTarget},
	"shares":     {Share: func(n int) float64 { return float64(1 + n%8) }},
	"sizes":      {Tokens: tinyOrHuge, Callers: manyTiny},
	"impatient":  {Deadline: someImpatient},
}

// WithDefaults names a shape and fills in what it leaves out.
func (s Shape) WithDefaults(name string) Shape {
	s.Name = name
	if s.Share == nil {
		s.Share = func(int) float64 { return 1 }
	}
	if s.Callers == nil {
		s.Callers = func(int) int { return callersEach }
	}
	if s.OneRouter == nil {
		s.OneRouter = func(int) bool { return false }
	}
	if s.Targets == nil {
		s.Targets = func(int, Deployment) []string { return nil }
	}
	if s.Hint == nil {
		s.Hint = func(int, time.Duration) time.Duration { return 0 }
	}
	if s.Tokens == nil {
		s.Tokens = spreadTokens
	}
	if s.Deadline == nil {
		s.Deadline = func(int) time.Duration { return time.Minute }
	}
	return s
}

// someImpatient gives every fourth workspace callers that give up and send
// again, so that tickets are withdrawn and grants cross the withdrawals.
func someImpatient(n int) time.Duration {
	if n%4 == 0 {
		return impatience
	}
	return time.Minute
}

func largeFirst(n int) int {
	if n == 0 {
		return 4 * callersEach
	}
	return callersEach
}

func floodFirst(n int) int {
	if n == 0 {
		return floodFactor * callersEach
	}
	return callersEach
}

// roughAbsentDishonest gives a third of the workspaces hints within a factor
// of two, a third none, and a third hints of a fiftieth of the cost.
func roughAbsentDishonest(n int, cost time.Duration) time.Duration {
	switch n % 3 {
	case 0:
		return cost + cost/2
	case 1:
		return 0
	default:
		return max(cost/50, time.Millisecond)
	}
}

// everyThirdTarget narrows every fourth workspace to a third of the targets.
func everyThirdTarget(n int, d Deployment) []string {
	if n%4 != 0 {
		return nil
	}
	var names []string
	for target := range d.Targets {
		if target%3 == 0 {
			names = append(names, TargetName(target))
		}
	}
	return names
}

func spreadTokens(_ int, random *rand.Rand) int {
	low, high := math.Log(minTokens), math.Log(maxTokens)
	return int(math.Exp(low + random.Float64()*(high-low)))
}

// manyTiny keeps enough of the tiny requests in flight for a fair share.
func manyTiny(n int) int {
	if n%2 == 0 {
		return 4 * callersEach
	}
	return callersEach
}

// tinyOrHuge gives the even workspaces many tiny requests and the odd ones a
// few huge ones.
func tinyOrHuge(n int, _ *rand.Rand) int {
	if n%2 == 0 {
		return tinyTokens
	}
	return maxTokens
}

// TargetName returns the name of target n, from zero.
func TargetName(n int) string { return fmt.Sprintf("%s-%d", Pool, n+1) }

// WorkspaceName returns the name of workspace n, from zero.
func WorkspaceName(n int) string { return fmt.Sprintf("workspace-%02d", n+1) }

// WorkspaceKey returns the key of workspace n.
func WorkspaceKey(n int) string { return WorkspaceName(n) + "-key" }

// Declared returns the workspaces of a shape.
func (s Shape) Declared(d Deployment) map[string]config.Workspace {
	all := make(map[string]config.Workspace)
	for n := range Workspaces {
		w := fleet.Workspace(WorkspaceKey(n), s.Share(n), Pool)
		w.Targets = s.Targets(n, d)
		w.MaxQueued = floodFactor * callersEach
		all[WorkspaceName(n)] = w
	}
	return all
}

// Request makes one request of workspace n.
func (s Shape) Request(n, sequence int, d Deployment, random *rand.Rand) load.Request {
	tokens := s.Tokens(n, random)
	return load.Request{
		Kind:      load.Stream,
		Workspace: WorkspaceName(n),
		Key:       WorkspaceKey(n),
		Mark:      fmt.Sprintf("w%d-%d-%d", n, sequence, random.Uint32()),
		Model:     Model,
		MaxTokens: tokens,
		CostHint:  s.Hint(n, time.Duration(tokens)*d.Step),
		Deadline:  s.Deadline(n),
	}
}
