package control

import (
	"maps"
	"slices"
	"time"

	"github.com/walnutcove/walnutcove/control/affinity"
	"github.com/walnutcove/walnutcove/control/member"
)

// Stream affinities: a stream to which its caller reconnects may continue only on targets of
// the software version that began it. The router that relays the first event records the
// version and copies the record to a few other routers, chosen by rendezvous hashing of the
// stream's key, so that it survives the router. A router that does not have a record asks
// those that should. If no router has one the request is refused, so that a lost record never
// leads to another version, also while this router cannot reach the others.

const (
	// affinityCopies is the number of other routers that get a copy of a record.
	affinityCopies = 2
	// affinityAsked is the number of routers that are asked for a record. It exceeds
	// affinityCopies, as routers that joined since may rank before those that have it.
	affinityAsked = 8
	// affinityAskEvery is the time after which routers are asked again: a copy may still
	// have been on its way.
	affinityAskEvery = 50 * time.Millisecond
	// affinityTimeout bounds a lookup. Answers take a round trip between routers.
	affinityTimeout = 250 * time.Millisecond
	// affinityJoinTime is how long after its start a router that knows no other one waits in
	// each lookup for the list of routers.
	affinityJoinTime = 2 * time.Second
	// maxAffinityLookups bounds the lookups in progress; further ones find nothing.
	maxAffinityLookups = 1024
	// affinityCopyDelay is the time after a change of members after which records are copied
	// to the routers that should have them now, so that changes in series are handled at once.
	affinityCopyDelay = 250 * time.Millisecond
	// maxRecordsPerNotice bounds the records in one message.
	maxRecordsPerNotice = 100
)

// StreamBegan reports that a target sent the first event of a stream to which its caller may
// reconnect.
type StreamBegan struct {
	// Keys are those of the requests by which the stream may be named.
	Keys     []affinity.Key
	Affinity affinity.Affinity
}

// AffinityWanted asks where a stream began to which its caller reconnects. It is answered by
// AffinityFound.
type AffinityWanted struct {
	Request RequestID
	// Named reports that the caller named the stream, by Key.
	Named bool
	Key   affinity.Key
	// Pool is the pool by the route. A stream that is not named can be continued only while
	// all targets of the pool have been of one version.
	Pool string
}

// AffinityFound answers AffinityWanted.
type AffinityFound struct {
	Request  RequestID
	Known    bool
	Affinity affinity.Affinity
	// Asked is the number of routers that were asked last, and Silent how many of them did
	// not answer. Software lists the versions that the pool of an unnamed stream has had.
	Asked, Silent int
	Software      []string
}

// AffinityNotice copies records to a router.
type AffinityNotice struct{ Records []affinity.Record }

// AffinityQuery asks a router for the record of a stream. For one that is not named it asks
// which software versions the pool has had.
type AffinityQuery struct {
	// Lookup identifies the question at its sender.
	Lookup uint64
	Named  bool
	Key    affinity.Key
	Pool   string
}

// AffinityAnswer answers an AffinityQuery.
type AffinityAnswer struct {
	Lookup   uint64
	Known    bool
	Affinity affinity.Affinity
	// Software lists the versions that the pool has had, for a stream that is not named.
	// ListedLong reports that none can be missing, as the router has known the pool's targets for
	// longer than any stream lasts.
	Software   []string
	ListedLong bool
}

func (StreamBegan) isEvent()      {}
func (AffinityWanted) isEvent()   {}
func (AffinityFound) isCommand()  {}
func (AffinityNotice) isMessage() {}
func (AffinityQuery) isMessage()  {}
func (AffinityAnswer) isMessage() {}

// affinities holds the records of this node and its lookups.
type affinities struct {
	table      *affinity.Table
	lookups    map[uint64]*affinityLookup
	lastLookup uint64
	// ranking is that of the current view, and copiedBy the one by which the records were
	// last copied. restarted holds the nodes that have lost their records since.
	ranking   member.Ranking
	copiedBy  member.Ranking
	restarted map[NodeID]bool
	copyAt    Instant // zero: nothing to copy
	// software holds when each version was last listed, by pool, and listedSince is when the
	// targets were listed for the first time.
	software    map[string]map[string]Instant
	listedSince Instant
}

func newAffinities() affinities {
	return affinities{
		table:     affinity.NewTable(),
		lookups:   make(map[uint64]*affinityLookup),
		restarted: make(map[NodeID]bool),
		software:  make(map[string]map[string]Instant),
	}
}

// affinityLookup is a question about a stream that other routers have been asked.
type affinityLookup struct {
	id       uint64
	ev       AffinityWanted
	deadline Instant
	// outstanding holds the routers that have not answered the current round, and rounds
	// counts the rounds that all asked routers answered.
	outstanding map[NodeID]bool
	rounds      int
	// asked is the number of routers asked in the current round.
	asked int
	// software holds the versions that routers named. answered reports whether any did, and
	// listedLong whether one of these has listed the targets for long enough.
	software   map[string]bool
	answered   bool
	listedLong bool
	timer      timer
}

// affinityRounds is how many rounds of answers make a named stream unknown.
const affinityRounds = 2

// streamBegan records where a stream began, and copies the record.
func (m *Machine) streamBegan(ev StreamBegan) {
	for _, key := range ev.Keys {
		record := affinity.Record{Key: key, Affinity: ev.Affinity}
		m.affinities.table.Add(m.now, m.affinityRetention(), record)
		m.counters.AffinitiesRecorded++
		for _, node := range m.affinities.ranking.Highest(uint64(key), affinityCopies, string(m.opts.Node)) {
			m.send(NodeID(node), AffinityNotice{Records: []affinity.Record{record}})
		}
	}
}

func (m *Machine) affinityNoticeReceived(msg AffinityNotice) {
	for _, record := range msg.Records {
		m.affinities.table.Add(m.now, m.affinityRetention(), record)
	}
}

// affinityRetention is how long a record is kept after its last use.
func (m *Machine) affinityRetention() time.Duration {
	if m.topo == nil {
		return maxStreamLife
	}
	return m.topo.streamLife
}

// affinityWanted answers from the records here, or asks other routers.
func (m *Machine) affinityWanted(ev AffinityWanted) {
	if ev.Named {
		if found, known := m.affinities.table.Get(m.now, m.affinityRetention(), ev.Key); known {
			m.counters.AffinitiesHere++
			m.emit(AffinityFound{Request: ev.Request, Known: true, Affinity: found})
			return
		}
	}
	if len(m.affinities.lookups) >= maxAffinityLookups {
		m.counters.AffinitiesUnknown++
		m.emit(AffinityFound{Request: ev.Request})
		return
	}
	m.affinities.lastLookup++
	l := &affinityLookup{id: m.affinities.lastLookup, ev: ev, deadline: m.now + affinityTimeout, software: make(map[string]bool)}
	m.affinities.lookups[l.id] = l
	if m.view.Known() == 0 && m.now >= affinityJoinTime {
		m.endLookup(l)
		return
	}
	m.askForAffinity(l)
}

// askForAffinity begins a round of a lookup. While no other router is known to be alive, it
// only waits.
func (m *Machine) askForAffinity(l *affinityLookup) {
	l.outstanding = make(map[NodeID]bool)
	for _, node := range m.affinities.ranking.Highest(uint64(l.ev.Key), affinityAsked, string(m.opts.Node)) {
		l.outstanding[NodeID(node)] = true
		m.send(NodeID(node), AffinityQuery{Lookup: l.id, Named: l.ev.Named, Key: l.ev.Key, Pool: l.ev.Pool})
	}
	l.asked = len(l.outstanding)
	m.timers.set(&l.timer, l, min(l.deadline, m.now+affinityAskEvery))
}

// fire implements timerOwner: the lookup has timed out, or routers are asked again.
func (l *affinityLookup) fire(m *Machine) {
	if m.now >= l.deadline {
		m.endLookup(l)
		return
	}
	m.askForAffinity(l)
}

func (m *Machine) affinityQueryReceived(from NodeID, msg AffinityQuery) {
	answer := AffinityAnswer{Lookup: msg.Lookup}
	if msg.Named {
		answer.Affinity, answer.Known = m.affinities.table.Get(m.now, m.affinityRetention(), msg.Key)
	} else {
		answer.Software, answer.ListedLong = m.softwareOf(msg.Pool), m.hasListedLong()
	}
	m.send(from, answer)
}

func (m *Machine) affinityAnswerReceived(from NodeID, msg AffinityAnswer) {
	l := m.affinities.lookups[msg.Lookup]
	if l == nil || !l.outstanding[from] {
		return
	}
	delete(l.outstanding, from)
	for _, software := range msg.Software {
		l.software[software] = true
	}
	l.answered = l.answered || len(msg.Software) > 0
	l.listedLong = l.listedLong || msg.ListedLong
	if msg.Known {
		m.affinities.table.Add(m.now, m.affinityRetention(), affinity.Record{Key: l.ev.Key, Affinity: msg.Affinity})
		m.counters.AffinitiesElsewhere++
		m.finishLookup(l, msg.Affinity, true)
		return
	}
	if len(l.outstanding) > 0 {
		return
	}
	l.rounds++
	if !l.ev.Named || l.rounds >= affinityRounds {
		m.endLookup(l)
	}
}

// endLookup ends a lookup for which no record was found.
func (m *Machine) endLookup(l *affinityLookup) {
	software, only := m.onlySoftware(l)
	if l.ev.Named || !only {
		m.counters.AffinitiesUnknown++
		m.finishLookup(l, affinity.Affinity{}, false)
		return
	}
	m.finishLookup(l, affinity.Affinity{Pool: l.ev.Pool, Software: software}, true)
}

func (m *Machine) finishLookup(l *affinityLookup, found affinity.Affinity, known bool) {
	m.timers.stop(&l.timer)
	delete(m.affinities.lookups, l.id)
	m.emit(AffinityFound{
		Request:  l.ev.Request,
		Known:    known,
		Affinity: found,
		Asked:    l.asked,
		Silent:   len(l.outstanding),
		Software: sortedKeys(l.software),
	})
}

// onlySoftware returns the version of all targets that the pool of a lookup has had, by this
// router and by those that answered. It returns false if there were several, if other
// routers are known and none has answered, as this one may be disconnected from them, or if all
// have started so recently that none may know the version that began the stream.
func (m *Machine) onlySoftware(l *affinityLookup) (string, bool) {
	if !l.answered && m.view.Known() > 0 || !l.listedLong && !m.hasListedLong() {
		return "", false
	}
	for _, software := range m.softwareOf(l.ev.Pool) {
		l.software[software] = true
	}
	if len(l.software) != 1 {
		return "", false
	}
	for software := range l.software {
		return software, true
	}
	return "", false
}

// hasListedLong reports whether this router has listed the targets since before any stream began to
// which a caller may reconnect now.
func (m *Machine) hasListedLong() bool {
	return m.topo != nil && m.now-m.affinities.listedSince >= m.affinityRetention()
}

// softwareOf returns the versions of the targets that a pool has had while a stream to which
// a caller reconnects now may have begun, sorted.
func (m *Machine) softwareOf(pool string) []string {
	if m.topo == nil {
		return nil
	}
	var versions []string
	for version, listedAt := range m.affinities.software[pool] {
		if m.now-listedAt <= m.affinityRetention() || m.topo.software[pool][version] {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return versions
}

// updateSoftware records the versions that are listed until now, when next replaces the
// configuration.
func (m *Machine) updateSoftware(next *topology) {
	if m.topo == nil {
		m.affinities.listedSince = m.now
	}
	retention := m.affinityRetention()
	for pool, versions := range m.affinities.software {
		maps.DeleteFunc(versions, func(version string, listedAt Instant) bool {
			return m.now-listedAt > retention && !m.topo.software[pool][version] && !next.software[pool][version]
		})
	}
	for _, topo := range []*topology{m.topo, next} {
		if topo == nil {
			continue
		}
		for pool, versions := range topo.software {
			known := m.affinities.software[pool]
			if known == nil {
				known = make(map[string]Instant)
				m.affinities.software[pool] = known
			}
			for version := range versions {
				known[version] = m.now
			}
		}
	}
}

// rankAffinityHolders applies a change of the view.
func (m *Machine) rankAffinityHolders() {
	m.affinities.ranking = m.view.Ranking()
	m.scheduleAffinityCopies()
}

// affinityHolderRestarted records that a node has lost its records.
func (m *Machine) affinityHolderRestarted(node NodeID) {
	m.affinities.restarted[node] = true
	m.scheduleAffinityCopies()
}

func (m *Machine) scheduleAffinityCopies() {
	if m.affinities.copyAt == 0 {
		m.affinities.copyAt = m.now + affinityCopyDelay
	}
}

// affinityTick copies records after a change of members.
func (m *Machine) affinityTick() {
	if m.affinities.copyAt != 0 && m.now >= m.affinities.copyAt {
		m.copyAffinities()
	}
}

// copyAffinities copies the records here to the nodes that should have them now and did not
// before.
func (m *Machine) copyAffinities() {
	a := &m.affinities
	batches := make(map[NodeID][]affinity.Record)
	for record := range a.table.All {
		before := a.copiedBy.Highest(uint64(record.Key), affinityCopies, "")
		for _, name := range a.ranking.Highest(uint64(record.Key), affinityCopies, "") {
			node := NodeID(name)
			if node != m.opts.Node && (a.restarted[node] || !slices.Contains(before, name)) {
				batches[node] = append(batches[node], record)
			}
		}
	}
	for _, node := range sortedKeys(batches) {
		for records := range slices.Chunk(batches[node], maxRecordsPerNotice) {
			m.counters.AffinitiesCopied += uint64(len(records))
			m.send(node, AffinityNotice{Records: records})
		}
	}
	a.copiedBy = a.ranking
	a.copyAt = 0
	clear(a.restarted)
}
