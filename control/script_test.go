package control

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/walnutcove/walnutcove/config"
)

// script runs several machines step by step. Messages stay on their links until the script
// delivers, duplicates or drops them.
type script struct {
	t        *testing.T
	now      Instant
	names    []string
	machines map[string]*Machine
	paused   map[string]bool
	links    map[string][]MessageReceived
	grants   map[string]GrantID
	config   config.Declarations
	version  config.Version
	out      strings.Builder
	restarts int
}

// TestScripts runs the scripts in testdata. They guard against mistakes in the protocol
// between machines when messages cross, or are late, lost or duplicated.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{
			t:        t,
			machines: make(map[string]*Machine),
			paused:   make(map[string]bool),
			links:    make(map[string][]MessageReceived),
			grants:   make(map[string]GrantID),
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.out.Reset()
			s.run(d)
			if s.out.Len() == 0 {
				return "ok\n"
			}
			return s.out.String()
		})
	})
}

// run executes one command of a script.
func (s *script) run(d *datadriven.TestData) {
	arg := func(key, fallback string) string {
		for _, a := range d.CmdArgs {
			if a.Key == key && len(a.Vals) > 0 {
				return a.Vals[0]
			}
		}
		return fallback
	}
	has := func(key string) bool { return d.HasArg(key) }
	number := func(key string, fallback int) int {
		n, err := strconv.Atoi(arg(key, strconv.Itoa(fallback)))
		if err != nil {
			d.Fatalf(s.t, "%s: %v", key, err)
		}
		return n
	}
	duration := func(key, fallback string) time.Duration {
		v, err := time.ParseDuration(arg(key, fallback))
		if err != nil {
			d.Fatalf(s.t, "%s: %v", key, err)
		}
		return v
	}
	operand := "" // the node or link to which the command applies
	if len(d.CmdArgs) > 0 && d.CmdArgs[0].Key != "twice" {
		operand = d.CmdArgs[0].Key
	}
	request := RequestID(number("id", 0))
	attempt := uint32(number("attempt", 1))
	switch d.Cmd {
	case "fleet":
		s.startFleet(d.Input)
	case "config":
		s.configure(d.Input, arg("at", ""))
	case "arrive":
		ev := RequestArrived{
			Request: request, Attempt: attempt, Workspace: arg("ws", "a"), Pool: arg("pool", "p"),
			Deadline: s.now + duration("wait", "1m"), Bytes: int64(number("bytes", 0)),
			PrefixHash: uint64(number("prefix", 0)), Fingerprint: uint64(number("finger", 0)),
			CostHint: duration("hint", "0s"),
		}
		if has("excluded") {
			ev.Excluded = strings.Split(arg("excluded", ""), "+")
		}
		s.step(operand, ev)
	case "cancel":
		s.step(operand, RequestCancelled{Request: request, Attempt: attempt})
	case "silent":
		s.step(operand, RunSilent{Grant: s.grants[fmt.Sprintf("%s/%d", operand, request)]})
	case "end":
		outcome := map[string]Outcome{"answered": OutcomeAnswered, "lost": OutcomeLost, "not-run": OutcomeNotRun, "unreachable": OutcomeUnreachable, "refused": OutcomeRefused}[arg("outcome", "answered")]
		s.step(operand, RunEnded{Request: request, Grant: s.grants[fmt.Sprintf("%s/%d", operand, request)], Outcome: outcome, Service: duration("service", "1s")})
	case "load":
		s.step(operand, TargetLoad{Target: arg("target", ""), Running: number("running", 0), Queued: number("queued", 0), Slots: number("slots", 0), Leaving: has("leaving"), StartID: uint64(number("start", 0))})
	case "unreachable":
		s.step(operand, TargetUnreachable{Target: arg("target", "")})
	case "drain":
		s.step(operand, DrainStarted{})
	case "disconnect":
		s.step(operand, PeerState{Node: NodeID(arg("peer", ""))})
	case "restart":
		s.restart(operand)
	case "pause":
		s.paused[operand] = true
	case "resume":
		delete(s.paused, operand)
		s.step(operand, Tick{})
	case "advance":
		s.advance(duration("for", "50ms"), has("deliver"))
	case "deliver":
		s.deliver(operand, has("twice"), number("max", 1000))
	case "drop":
		delete(s.links, operand)
	case "grants":
		s.showGrants(operand)
	default:
		d.Fatalf(s.t, "unknown command %s", d.Cmd)
	}
}

// startFleet starts a machine for each line "name data-centre" and delivers their first
// messages.
func (s *script) startFleet(input string) {
	var members []Member
	for i, line := range strings.Split(strings.TrimSpace(input), "\n") {
		f := strings.Fields(line)
		s.names = append(s.names, f[0])
		s.machines[f[0]] = New(Options{Node: NodeID(f[0]), Incarnation: Incarnation(100 + i), DataCentre: f[1], Seed: uint64(i)})
		members = append(members, Member{Node: NodeID(f[0]), DataCentre: f[1]})
	}
	for _, name := range s.names {
		s.step(name, MembersListed{Members: members})
	}
	s.deliver("", false, 1000)
	s.out.Reset()
}

func (s *script) restart(name string) {
	s.restarts++
	old := s.machines[name].opts
	old.Incarnation = Incarnation(1000 + s.restarts)
	s.machines[name] = New(old)
	var members []Member
	for _, n := range s.names {
		members = append(members, Member{Node: NodeID(n), DataCentre: s.machines[n].opts.DataCentre})
	}
	s.step(name, MembersListed{Members: members})
	s.step(name, s.snapshot())
}

func (s *script) snapshot() ConfigChanged {
	return ConfigChanged{Snapshot: &config.Snapshot{Version: s.version, Declarations: s.config}}
}

// configure reads lines "workspace NAME [queued=N] [bytes=N] [only=T+T]" and "target NAME
// data-centre slots [leaving]", all of pool p, and applies them as the next version at one
// node or at all nodes.
func (s *script) configure(input, at string) {
	s.config = config.Declarations{
		Workspaces: make(map[string]config.Workspace),
		Pools:      map[string]config.Pool{"p": {Kind: config.KindEngine}},
		Targets:    make(map[string]config.Target),
	}
	for _, line := range strings.Split(strings.TrimSpace(input), "\n") {
		f := strings.Fields(line)
		if f[0] == "target" {
			slots, _ := strconv.Atoi(f[3])
			s.config.Targets[f[1]] = config.Target{Pool: "p", DataCentre: f[2], Slots: slots, Leaving: len(f) > 4}
			continue
		}
		ws := config.Workspace{Share: 1, Pools: []string{"p"}}
		for _, option := range f[2:] {
			key, value, _ := strings.Cut(option, "=")
			n, _ := strconv.Atoi(value)
			switch key {
			case "queued":
				ws.MaxQueued = n
			case "bytes":
				ws.MaxQueuedBytes = int64(n)
			case "only":
				ws.Targets = strings.Split(value, "+")
			}
		}
		s.config.Workspaces[f[1]] = ws
	}
	s.version++
	for _, name := range s.names {
		if at == "" || at == name {
			s.step(name, s.snapshot())
		}
	}
	s.advance(600*time.Millisecond, true)
}

// advance lets time pass in steps of 50 ms, with a tick of each running machine.
func (s *script) advance(d time.Duration, deliver bool) {
	for end := s.now + d; s.now < end; {
		s.now += 50 * time.Millisecond
		for _, name := range s.names {
			if !s.paused[name] {
				s.step(name, Tick{})
			}
		}
		if deliver {
			s.deliver("", false, 1000)
		}
	}
}

func (s *script) step(name string, ev Event) {
	for _, cmd := range s.machines[name].Step(s.now, ev) {
		s.showCommand(name, cmd)
	}
}

// deliver delivers up to maxMessages messages of one link ("n1>n2"), or of all links, until
// none is left.
func (s *script) deliver(link string, twice bool, maxMessages int) {
	for range maxMessages {
		found := false
		for _, l := range sortedKeys(s.links) {
			if link != "" && l != link || len(s.links[l]) == 0 {
				continue
			}
			_, to, _ := strings.Cut(l, ">")
			if s.paused[to] {
				continue
			}
			found = true
			ev := s.links[l][0]
			s.links[l] = s.links[l][1:]
			s.step(to, ev)
			if twice {
				s.step(to, ev)
			}
			break
		}
		if !found {
			return
		}
	}
}

// showCommand writes a command to the output; messages are put on their links.
func (s *script) showCommand(name string, cmd Command) {
	switch c := cmd.(type) {
	case Send:
		link := name + ">" + string(c.To)
		s.links[link] = append(s.links[link], MessageReceived{From: NodeID(name), Incarnation: s.machines[name].opts.Incarnation, Message: c.Message})
		if text := describeMessage(c.Message); text != "" {
			fmt.Fprintf(&s.out, "%s: %s\n", link, text)
		}
	case Dispatch:
		s.grants[fmt.Sprintf("%s/%d", name, c.Request)] = c.Grant
		fmt.Fprintf(&s.out, "%s: dispatch %d to %s under %s\n", name, c.Request, c.Target, grantName(c.Grant))
	case Refuse:
		fmt.Fprintf(&s.out, "%s: refuse %d: %s, retry advised %v\n", name, c.Request, c.Code.Info().Name, c.RetryAfter > 0)
	case QuarantineChanged:
		fmt.Fprintf(&s.out, "%s: quarantine %d: %v\n", name, c.Fingerprint, c.Quarantined)
	case Drained:
		fmt.Fprintf(&s.out, "%s: drained\n", name)
	}
}

// describeMessage returns a message as shown in the output; "" for the types of messages
// that scripts do not show.
func describeMessage(msg Message) string {
	switch msg := msg.(type) {
	case Ticket:
		return fmt.Sprintf("ticket %d for %s", msg.ID.Request, msg.Shard.DataCentre)
	case Grant:
		return fmt.Sprintf("grant %s of %s to %d", grantName(msg.ID), msg.Target, msg.Ticket.Request)
	case Waiting:
		return fmt.Sprintf("waiting %d, %d ahead", msg.Ticket.Request, msg.Ahead)
	case Refusal:
		return fmt.Sprintf("refusal %d: %s", msg.Ticket.Request, msg.Code.Info().Name)
	case CancelTicket:
		return fmt.Sprintf("cancel %d", msg.Ticket.Request)
	case Report:
		if msg.Phase == PhaseRunning {
			return "running " + grantName(msg.Grant)
		}
		if msg.Phase == PhaseSilent {
			return fmt.Sprintf("silent %s", grantName(msg.Grant))
		}
		return fmt.Sprintf("ended %s, outcome %d", grantName(msg.Grant), msg.Outcome)
	case ReportAck:
		return "ack " + grantName(msg.Grant)
	case SuspectNotice:
		return "suspects " + string(msg.Node)
	case QuarantineNotice:
		return fmt.Sprintf("evidence %v %v %d", msg.Crashes, msg.Running, msg.Fingerprint)
	default:
		return ""
	}
}

func grantName(id GrantID) string { return fmt.Sprintf("%s#%d", id.Scheduler, id.Seq) }

// showGrants writes how many grants and tickets a scheduler holds in each shard.
func (s *script) showGrants(name string) {
	for _, shard := range s.machines[name].Status().Shards {
		fmt.Fprintf(&s.out, "%s: %d granted, %d queued\n", shard.Shard.DataCentre, shard.Granted, shard.Queued)
	}
}
