package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/walnutcove/walnutcove/control"
)

// The ranges of allowed values.
const (
	minDuration = Duration(time.Millisecond)
	maxDuration = Duration(24 * time.Hour)
	// maxColdOvershoot and maxColdSlack are for cold_factor and cold_slack.
	maxColdOvershoot = 100_000
	maxColdSlack     = 100_000

	minBodyBytes   = 1 << 10
	maxBodyBytes   = 1 << 30
	maxHeldBytes   = 1 << 40
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20

	maxNameBytes            = 253
	minFleetWritesPerSecond = 1
	maxFleetWritesPerSecond = 1_000_000

	keyHashBytes = 32
)

// Validate returns nil or a Problems that lists every value that is missing or
// out of range.
func (s Settings) Validate() error {
	if problems := s.check(); len(problems) > 0 {
		return problems
	}
	return nil
}

func (s Settings) check() Problems {
	var c checker
	c.name("node.name", s.Node.Name)
	c.name("node.data_centre", s.Node.DataCentre)
	if s.Node.Cores < 0 {
		c.add("node.cores", "is %g; must not be below 0", s.Node.Cores)
	}
	platform, ok := c.address("platform.address", s.Platform.Address)
	if ok && platform.Port() == 0 {
		c.add("platform.address", "has no port")
	}
	s.checkListeners(&c)
	s.checkDurationsAndScheduling(&c)
	s.checkPlatformAndLimits(&c)
	c.within("limits.max_body_bytes", s.Limits.MaxBodyBytes, minBodyBytes, maxBodyBytes)
	c.within("limits.max_held_bytes", s.Limits.MaxHeldBytes, s.Limits.MaxBodyBytes, maxHeldBytes)
	c.within("limits.max_answer_bytes", s.Limits.MaxAnswerBytes, 0, maxHeldBytes)
	c.within("limits.max_header_bytes", s.Limits.MaxHeaderBytes, minHeaderBytes, maxHeaderBytes)
	c.within("platform.fleet_writes_per_second", s.Platform.FleetWritesPerSecond, minFleetWritesPerSecond, maxFleetWritesPerSecond)
	policies := []string{string(control.PolicyShardQueue), string(control.PolicyAlone)}
	c.oneOf("scheduling.policy", s.Scheduling.Policy, policies...)
	s.checkOffload(&c)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "text", "json")
	for i, hash := range s.Operators.KeyHashes {
		c.keyHash(fmt.Sprintf("operators.key_hashes[%d]", i), hash)
	}
	return c.problems
}

func (s Settings) checkListeners(c *checker) {
	callers, callersOK := c.address("listen.callers", s.Listen.Callers)
	operators, operatorsOK := c.address("listen.operators", s.Listen.Operators)
	peers, peersOK := c.address("listen.peers", s.Listen.Peers)
	c.distinct("listen.operators", operators, "listen.callers", callers)
	c.distinct("listen.peers", peers, "listen.callers", callers)
	c.distinct("listen.peers", peers, "listen.operators", operators)
	s.checkHealthListener(c, callers)
	tls := c.tlsFiles(s.Peers)
	if !tls && !s.Peers.TrustNetwork {
		c.loopback("listen.callers", callers, callersOK)
		c.loopback("listen.operators", operators, operatorsOK)
		c.loopback("listen.peers", peers, peersOK)
	}
	if operatorsOK && !operators.Addr().IsLoopback() && len(s.Operators.KeyHashes) == 0 && !s.Peers.TrustNetwork {
		c.add("operators.key_hashes", "is empty, which is allowed only while listen.operators is on loopback")
	}
}

// checkHealthListener checks the load balancer's address, which is optional.
func (s Settings) checkHealthListener(c *checker, callers netip.AddrPort) {
	if s.Listen.Health == "" {
		return
	}
	health, ok := c.address("listen.health", s.Listen.Health)
	if ok {
		c.distinct("listen.health", health, "listen.callers", callers)
	}
}

// checkPlatformAndLimits checks the kind of platform, the limits on calls to a managed platform,
// the bounds of retries, and the limits of the process.
func (s Settings) checkPlatformAndLimits(c *checker) {
	c.oneOf("platform.kind", s.Platform.Kind, KindOwn, KindManaged)
	c.positive("platform.reads_per_second", s.Platform.ReadsPerSecond)
	c.positive("platform.writes_per_second", s.Platform.WritesPerSecond)
	c.duration("platform.return_grace", s.Platform.ReturnGrace)
	c.duration("platform.target_heartbeat", s.Platform.TargetHeartbeat)
	c.notNegative("retries.ratio", s.Retries.Ratio)
	c.notNegative("retries.slack", s.Retries.Slack)
	c.duration("retries.window", s.Retries.Window)
	if s.Limits.DrainNotice < 0 {
		c.add("limits.drain_notice", "is %s; must not be below 0", time.Duration(s.Limits.DrainNotice))
	}
	if s.Limits.MaxDescriptors < 0 {
		c.add("limits.max_descriptors", "is %d; must not be below 0", s.Limits.MaxDescriptors)
	}
	c.notNegative("limits.memory_mib", s.Limits.MemoryMiB)
}

// checkOffload checks which routers may serve requests for an overloaded one. Only routers on a
// managed platform shed load.
func (s Settings) checkOffload(c *checker) {
	c.oneOf("offload.executors", s.Offload.Executors, ExecutorsNone, ExecutorsLarger, ExecutorsAny)
	isOn := s.Offload.Executors == ExecutorsLarger || s.Offload.Executors == ExecutorsAny
	if isOn && s.Platform.Kind == KindOwn {
		c.add("offload.executors", "is %q; must be %q unless platform.kind is %q", s.Offload.Executors, ExecutorsNone, KindManaged)
	}
}

func (c *checker) positive(key string, value float64) {
	if !(value > 0) {
		c.add(key, "is %g; must be over 0", value)
	}
}

func (c *checker) notNegative(key string, value float64) {
	if !(value >= 0) {
		c.add(key, "is %g; must not be below 0", value)
	}
}

// checkDurationsAndScheduling checks the durations and the figures of the scheduling policy.
func (s Settings) checkDurationsAndScheduling(c *checker) {
	c.duration("platform.timeout", s.Platform.Timeout)
	c.duration("platform.poll_every", s.Platform.PollEvery)
	c.duration("platform.vm_list_every", s.Platform.VMListEvery)
	c.duration("scheduling.heartbeat_every", s.Scheduling.HeartbeatEvery)
	c.duration("scheduling.member_timeout", s.Scheduling.MemberTimeout)
	if s.Scheduling.ExchangeEvery != 0 {
		c.duration("scheduling.exchange_every", s.Scheduling.ExchangeEvery)
	}
	if s.Scheduling.LocalAfter < 0 || s.Scheduling.LocalAfter > maxDuration {
		c.add("scheduling.local_after", "must be from 0 to %s", time.Duration(maxDuration))
	}
	if !(s.Scheduling.ColdOvershoot >= 1 && s.Scheduling.ColdOvershoot <= maxColdOvershoot) {
		c.add("scheduling.cold_factor", "is %g; must be from 1 to %d", s.Scheduling.ColdOvershoot, maxColdOvershoot)
	}
	if !(s.Scheduling.ColdSlack >= 0 && s.Scheduling.ColdSlack <= maxColdSlack) {
		c.add("scheduling.cold_slack", "is %g; must be from 0 to %d", s.Scheduling.ColdSlack, maxColdSlack)
	}
	for _, bound := range s.Scheduling.Tokens.Bounds() {
		if !(bound.Value >= bound.Min && bound.Value <= bound.Max) {
			c.add("scheduling.tokens."+bound.Key, "is %g; must be from %g to %g", bound.Value, bound.Min, bound.Max)
		}
	}
	if s.Scheduling.MemberTimeout <= s.Scheduling.HeartbeatEvery {
		c.add("scheduling.member_timeout", "must be longer than scheduling.heartbeat_every")
	}
	c.duration("limits.read_timeout", s.Limits.ReadTimeout)
	c.duration("limits.idle_timeout", s.Limits.IdleTimeout)
	c.duration("limits.default_deadline", s.Limits.DefaultDeadline)
	c.duration("limits.first_byte_timeout", s.Limits.FirstByteTimeout)
	c.duration("limits.stall_timeout", s.Limits.StallTimeout)
	c.duration("limits.drain_timeout", s.Limits.DrainTimeout)
}

// checker collects problems.
type checker struct {
	problems Problems
}

func (c *checker) add(key, format string, args ...any) {
	c.problems = append(c.problems, Problem{Key: key, Reason: fmt.Sprintf(format, args...)})
}

// name checks a name that other routers and the platform use.
func (c *checker) name(key, value string) {
	if value == "" {
		c.add(key, "is required")
		return
	}
	isAllowed := func(r rune) bool { return r > ' ' && r <= '~' && r != '"' && r != '\\' }
	if len(value) > maxNameBytes || strings.IndexFunc(value, func(r rune) bool { return !isAllowed(r) }) >= 0 {
		c.add(key, "is %.64q; must be up to %d ASCII characters without spaces, quotes and backslashes", value, maxNameBytes)
	}
}

// distinct refuses one address for two listeners. With port 0 the system picks a port for each.
func (c *checker) distinct(key string, address netip.AddrPort, otherKey string, other netip.AddrPort) {
	if address.IsValid() && address.Port() != 0 && address == other {
		c.add(key, "is %s, the same as %s", address, otherKey)
	}
}

func (c *checker) within(key string, value, minValue, maxValue int) {
	if value < minValue || value > maxValue {
		c.add(key, "is %d; must be from %d to %d", value, minValue, maxValue)
	}
}

func (c *checker) duration(key string, value Duration) {
	if value < minDuration || value > maxDuration {
		c.add(key, "is %s; must be from %s to %s",
			time.Duration(value), time.Duration(minDuration), time.Duration(maxDuration))
	}
}

func (c *checker) oneOf(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.add(key, "is %q; must be one of %q", value, allowed)
	}
}

func (c *checker) keyHash(key, value string) {
	digest, err := hex.DecodeString(value)
	if err != nil || len(digest) != keyHashBytes {
		c.add(key, "must be a SHA-256 digest of %d hex digits", 2*keyHashBytes)
	}
}

// address parses an "ip:port" and reports whether it is valid.
func (c *checker) address(key, value string) (netip.AddrPort, bool) {
	if value == "" {
		c.add(key, "is required")
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		c.add(key, "is %q; must be \"ip:port\" with an IP number, not a host name, and a port up to 65535", value)
		return netip.AddrPort{}, false
	}
	return address, true
}

func (c *checker) loopback(key string, address netip.AddrPort, ok bool) {
	if ok && !address.Addr().IsLoopback() {
		c.add(key, "is %s, which is not on loopback: set peers.cert_file, peers.key_file and peers.ca_file", address)
	}
}

// tlsFiles checks that all TLS files are set or none, and reports whether any is.
func (c *checker) tlsFiles(p Peers) bool {
	files := []struct{ key, value string }{
		{"peers.cert_file", p.CertFile},
		{"peers.key_file", p.KeyFile},
		{"peers.ca_file", p.CAFile},
	}
	set := 0
	for _, f := range files {
		if f.value != "" {
			set++
		}
	}
	if set == 0 {
		return false
	}
	for _, f := range files {
		if f.value == "" {
			c.add(f.key, "is missing: set peers.cert_file, peers.key_file and peers.ca_file, or none of them")
		}
	}
	return true
}
