// Package workload provides the load patterns that the experiments share. Each
// keeps the workspaces of a deployment backlogged.
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

// Deployment is the size of one user's deployment.
type Deployment struct {
	Name        string
	DataCentres []string
	// Targets is the number of engines, and Slots the number of slots of each.
	Targets int
	Slots   int
	// Step is the time that an engine takes for each token.
	Step time.Duration
}

// Deployments holds the present sizes of both users' deployments, without their
// plain services.
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

// The configuration that all deployments share.
const (
	// WorkspaceCount is the number of workspaces that send requests.
	WorkspaceCount = 16
	// Pool and Model are the names of the only pool and of its model.
	Pool  = "shared"
	Model = "walnut-small"
)

const (
	// minTokens and maxTokens bound the length of the answers, which is
	// distributed log-uniformly: costs differ by up to a factor of a hundred.
	minTokens = 2
	maxTokens = 200
	// tinyTokens is the length of the answers to tiny requests.
	tinyTokens = 10
	// callersPerWorkspace is how many requests a workspace keeps in flight unless
	// its shape sets another number.
	callersPerWorkspace = 10
	// shortDeadline is how long impatient callers let a request wait.
	shortDeadline = 250 * time.Millisecond
	// floodFactor multiplies the callers of the workspace that floods.
	floodFactor = 50
)

// Shape is a load pattern. Workspaces are numbered from zero.
type Shape struct {
	Name string
	// Share returns the share of workspace n.
	Share func(n int) float64
	// Callers returns how many requests workspace n keeps in flight.
	Callers func(n int) int
	// OneRouter reports whether workspace n sends to the first router only.
	OneRouter func(n int) bool
	// Targets returns the targets that workspace n may use; nil for all.
	Targets func(n int, d Deployment) []string
	// Hint returns the cost hint of a request of workspace n with the given cost; zero
	// for none.
	Hint func(n int, cost time.Duration) time.Duration
	// Tokens returns the length in tokens of the answer to a request of workspace n.
	Tokens func(n int, random *rand.Rand) int
	// Deadline returns how long requests of workspace n may wait.
	Deadline func(n int) time.Duration
}

// Shapes holds the load patterns by name. Call WithDefaults before using one.
var Shapes = map[string]Shape{
	"burst":      {},
	"one-router": {OneRouter: func(n int) bool { return n == 0 }, Callers: moreCallersForFirst},
	"flood":      {Callers: floodCallersForFirst},
	"hints":      {Hint: mixedHints},
	"subsets":    {Targets: subsetForEveryFourth},
	"shares":     {Share: func(n int) float64 { return float64(1 + n%8) }},
	"sizes":      {Tokens: tinyOrHuge, Callers: moreCallersForTiny},
	"impatient":  {Deadline: shortDeadlineForEveryFourth},
}

// WithDefaults returns the shape with its name and with defaults for the
// functions that it leaves out.
func (s Shape) WithDefaults(name string) Shape {
	s.Name = name
	if s.Share == nil {
		s.Share = func(int) float64 { return 1 }
	}
	if s.Callers == nil {
		s.Callers = func(int) int { return callersPerWorkspace }
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

// shortDeadlineForEveryFourth gives every fourth workspace callers that give up
// and send again, so that tickets are cancelled while their grants are on the
// way.
func shortDeadlineForEveryFourth(n int) time.Duration {
	if n%4 == 0 {
		return shortDeadline
	}
	return time.Minute
}

func moreCallersForFirst(n int) int {
	if n == 0 {
		return 4 * callersPerWorkspace
	}
	return callersPerWorkspace
}

func floodCallersForFirst(n int) int {
	if n == 0 {
		return floodFactor * callersPerWorkspace
	}
	return callersPerWorkspace
}

// mixedHints gives a third of the workspaces hints within a factor of two of the
// cost, a third no hints, and a third hints of a fiftieth of the cost.
func mixedHints(n int, cost time.Duration) time.Duration {
	switch n % 3 {
	case 0:
		return cost + cost/2
	case 1:
		return 0
	default:
		return max(cost/50, time.Millisecond)
	}
}

// subsetForEveryFourth restricts every fourth workspace to a third of the targets.
func subsetForEveryFourth(n int, d Deployment) []string {
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

// spreadTokens draws a length from the log-uniform distribution between
// minTokens and maxTokens.
func spreadTokens(_ int, random *rand.Rand) int {
	low, high := math.Log(minTokens), math.Log(maxTokens)
	return int(math.Exp(low + random.Float64()*(high-low)))
}

// moreCallersForTiny gives the workspaces with tiny requests enough callers to
// use their fair share.
func moreCallersForTiny(n int) int {
	if n%2 == 0 {
		return 4 * callersPerWorkspace
	}
	return callersPerWorkspace
}

// tinyOrHuge gives the even workspaces, which have more callers, tiny requests and
// the odd ones requests of the greatest length.
func tinyOrHuge(n int, _ *rand.Rand) int {
	if n%2 == 0 {
		return tinyTokens
	}
	return maxTokens
}

// TargetName returns the name of target n, counted from zero.
func TargetName(n int) string { return fmt.Sprintf("%s-%d", Pool, n+1) }

// WorkspaceName returns the name of workspace n, counted from zero.
func WorkspaceName(n int) string { return fmt.Sprintf("workspace-%02d", n+1) }

// WorkspaceKey returns the API key of workspace n.
func WorkspaceKey(n int) string { return WorkspaceName(n) + "-key" }

// DeclaredWorkspaces returns the configuration of the shape's workspaces.
func (s Shape) DeclaredWorkspaces(d Deployment) map[string]config.Workspace {
	workspaces := make(map[string]config.Workspace)
	for n := range WorkspaceCount {
		w := fleet.Workspace(WorkspaceKey(n), s.Share(n), Pool)
		w.Targets = s.Targets(n, d)
		w.MaxQueued = floodFactor * callersPerWorkspace
		workspaces[WorkspaceName(n)] = w
	}
	return workspaces
}

// Request returns a request of workspace n.
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
