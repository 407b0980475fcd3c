// Package settings reads a router's TOML settings file. Unknown keys, wrong types,
// host names instead of IP addresses and values out of range are refused with the
// file, the key and the reason. docs/walnutd.example.toml documents every key.
package settings

import (
	"maps"
	"time"

	"github.com/walnutcove/walnutcove/control/policy"
)

// Settings holds the settings file of one walnutd.
type Settings struct {
	Node       Node       `toml:"node"`
	Listen     Listen     `toml:"listen"`
	Platform   Platform   `toml:"platform"`
	Peers      Peers      `toml:"peers"`
	Scheduling Scheduling `toml:"scheduling"`
	Limits     Limits     `toml:"limits"`
	Retries    Retries    `toml:"retries"`
	Offload    Offload    `toml:"offload"`
	Operators  Operators  `toml:"operators"`
	Log        Log        `toml:"log"`
}

// Node identifies the router.
type Node struct {
	// Name is the VM's name in the platform's list. Required.
	Name string `toml:"name"`
	// DataCentre and Region say where the VM runs. DataCentre is required.
	DataCentre string `toml:"data_centre"`
	Region     string `toml:"region"`
	// Regions maps each data centre to its region, on a managed platform. Targets in other
	// data centres get no requests whose route or workspace declares allowed regions.
	Regions map[string]string `toml:"regions"`
	// Cores is how many processor cores the router has. Routers with less than half
	// the cores of the largest one schedule nothing. Default 0: not known.
	Cores float64 `toml:"cores"`
}

// Equal reports whether n and other hold the same settings.
func (n Node) Equal(other Node) bool {
	return n.Name == other.Name && n.DataCentre == other.DataCentre && n.Region == other.Region &&
		n.Cores == other.Cores && maps.Equal(n.Regions, other.Regions)
}

// Listen holds the "ip:port" of each listener. All but Health are required.
type Listen struct {
	Callers   string `toml:"callers"`
	Operators string `toml:"operators"`
	Peers     string `toml:"peers"`
	// Health is where the platform's load balancer sends GET /readyz. Empty: only the
	// operators' listener answers it.
	Health string `toml:"health"`
}

// Platform holds the platform's address and the limits on calls to it.
type Platform struct {
	// Address is the "ip:port" of the platform. Required.
	Address string `toml:"address"`
	// Kind is "own" (default), the protocol of docs/PLATFORM.md, or "managed": a
	// platform that keeps configuration, targets and members in a row store; see
	// package platform.
	Kind string `toml:"kind"`
	// ReadsPerSecond and WritesPerSecond limit the calls of the whole fleet to a
	// managed platform. Defaults 2000 and 400.
	ReadsPerSecond  float64 `toml:"reads_per_second"`
	WritesPerSecond float64 `toml:"writes_per_second"`
	// ReturnGrace is how long targets whose entries lapsed during an outage of the
	// platform have to renew them once it is back. Default 2s.
	ReturnGrace Duration `toml:"return_grace"`
	// TargetHeartbeat is how often targets renew their entries on a managed platform.
	// Default 1s.
	TargetHeartbeat Duration `toml:"target_heartbeat"`
	// Timeout bounds each call. Default 2s.
	Timeout Duration `toml:"timeout"`
	// PollEvery is the period of reading the newest configuration version. Default 1s.
	PollEvery Duration `toml:"poll_every"`
	// VMListEvery is the period of reading the list of VMs. Default 2s.
	VMListEvery Duration `toml:"vm_list_every"`
	// FleetWritesPerSecond limits the commits of run records of the whole fleet. Each
	// router computes its share from the members that it sees. Default 300.
	FleetWritesPerSecond int `toml:"fleet_writes_per_second"`
}

// Peers configures the sessions between routers.
type Peers struct {
	// CertFile, KeyFile and CAFile turn on mutual TLS; all or none. Without
	// them every listener and peer must be on loopback.
	CertFile string `toml:"cert_file"`
	KeyFile  string `toml:"key_file"`
	CAFile   string `toml:"ca_file"`
	// TrustNetwork allows listeners without TLS off loopback: whoever can reach them is
	// trusted. For networks that only routers can reach.
	TrustNetwork bool `toml:"trust_network"`
}

// Scheduling selects and configures the scheduling policy.
type Scheduling struct {
	// Policy is "shard-queue" (default) or "alone".
	Policy string `toml:"policy"`
	// HeartbeatEvery, MemberTimeout and ExchangeEvery are as in control.Options. With
	// an ExchangeEvery of 0 the period depends on the size of the fleet.
	HeartbeatEvery Duration `toml:"heartbeat_every"`
	MemberTimeout  Duration `toml:"member_timeout"`
	ExchangeEvery  Duration `toml:"exchange_every"`
	// LocalAfter is as in control.Options. Default 0.
	LocalAfter Duration `toml:"local_after"`
	// ColdOvershoot and ColdSlack are as in control.Options. Default 1 and 0.
	ColdOvershoot float64 `toml:"cold_factor"`
	ColdSlack     float64 `toml:"cold_slack"`
	// PrefixLocality prefers, among about equally loaded targets, one that
	// likely has the prompt's beginning in its cache. Default true.
	PrefixLocality bool `toml:"prefix_locality"`
	// Tokens is the policy for pools that count in tokens. Default policy.Default;
	// other values are for experiments.
	Tokens policy.Tokens `toml:"tokens"`
}

// Limits bounds what callers may send and how long things may take.
type Limits struct {
	// MaxBodyBytes bounds a request body. Default 8 MiB.
	MaxBodyBytes int `toml:"max_body_bytes"`
	// MaxHeldBytes bounds the total size of the bodies that the router holds at
	// once. Default 256 MiB.
	MaxHeldBytes int `toml:"max_held_bytes"`
	// MaxAnswerBytes bounds the total size of the answers that the router holds at once for
	// callers who have not read them. Default 0: see AnswerBytes.
	MaxAnswerBytes int `toml:"max_answer_bytes"`
	// MaxHeaderBytes bounds a request's headers. Default 16 KiB.
	MaxHeaderBytes int `toml:"max_header_bytes"`
	// ReadTimeout bounds the time that a request takes to arrive. Default 10s.
	ReadTimeout Duration `toml:"read_timeout"`
	// IdleTimeout is after how long an idle caller connection is closed, unless the configuration of
	// a managed platform lets callers keep it idle for longer. Default 60s.
	IdleTimeout Duration `toml:"idle_timeout"`
	// DefaultDeadline is the time allowed until dispatch if the caller sets no deadline.
	// Default 30s.
	DefaultDeadline Duration `toml:"default_deadline"`
	// FirstByteTimeout bounds the wait for the first byte of a target's answer. Default 60s.
	FirstByteTimeout Duration `toml:"first_byte_timeout"`
	// StallTimeout bounds the gap between parts of an answer. Default 30s.
	StallTimeout Duration `toml:"stall_timeout"`
	// DrainTimeout bounds a graceful shutdown, with the refusals to the requests that are left at its
	// end. Default 10m.
	DrainTimeout Duration `toml:"drain_timeout"`
	// DrainNotice is how long a draining router still takes requests while it reports
	// that it is not ready, so that the load balancer stops sending first; at most half
	// of DrainTimeout. Default 0.
	DrainNotice Duration `toml:"drain_notice"`
	// MaxDescriptors is how many file descriptors the process may have open. Default
	// 0: no limit.
	MaxDescriptors int `toml:"max_descriptors"`
	// MemoryMiB is the memory that the process may use, in MiB; the garbage collector
	// runs more often near the limit. Default 0: no limit.
	MemoryMiB float64 `toml:"memory_mib"`
}

// AnswerBytes returns MaxAnswerBytes or, if that is 0, an eighth of the memory. 0 means that
// neither is set. At an eighth, a router of 144 MiB has room for 32 MiB of bodies, the system's
// buffers and the fixed memory of each open answer.
func (l Limits) AnswerBytes() int {
	if l.MaxAnswerBytes > 0 {
		return l.MaxAnswerBytes
	}
	return int(l.MemoryMiB * (1 << 20) / 8)
}

// Retries limits how often requests are sent to a target again, for the whole fleet. A router
// uses a fifth of Ratio, and no Slack, for a Window after its start: the process before it may
// have used its part.
type Retries struct {
	// Ratio is how many retries are allowed for each request of a pool. Default 0.2.
	Ratio float64 `toml:"ratio"`
	// Slack is how many retries a pool may have beyond that in a Window.
	// Default 50.
	Slack float64 `toml:"slack"`
	// Window is the time span over which Ratio and Slack apply. Default 10s.
	Window Duration `toml:"window"`
}

// Offload selects which routers serve requests for this one while it is overloaded.
type Offload struct {
	// Executors is ExecutorsNone (default), ExecutorsLarger or ExecutorsAny.
	Executors string `toml:"executors"`
}

// Operators configures the operator API.
type Operators struct {
	// KeyHashes are hex SHA-256 digests of the operators' keys. Empty is
	// allowed only when listen.operators is on loopback.
	KeyHashes []string `toml:"key_hashes"`
}

// Log configures logging.
type Log struct {
	// Level is "debug", "info" (default), "warn" or "error".
	Level string `toml:"level"`
	// Format is "text" (default) or "json".
	Format string `toml:"format"`
}

// Duration is a time.Duration that is written as a string such as "250ms" in TOML.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}
