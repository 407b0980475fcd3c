package control

import (
	"time"

	"github.com/walnutcove/walnutcove/control/sched"
)

// gapEvery is the shortest time between two reports of a gap in one shard.
const gapEvery = time.Second

// ShareGap reports that a workspace was granted less than half of another one at a shard
// scheduled here while its requests were refused.
type ShareGap struct {
	Shard ShardID
	Gap   sched.Gap
}

func (ShareGap) isCommand() {}

// noteGap reports the widest gap of a shard, if there is one.
func (m *Machine) noteGap(s *shard) {
	if m.now < s.nextGap {
		return
	}
	s.nextGap = m.now + gapEvery
	gap, found := s.shares.WidestGap(m.now)
	if !found {
		return
	}
	m.counters.ShareGaps++
	m.emit(ShareGap{Shard: s.id, Gap: gap})
}
