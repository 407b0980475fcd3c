package control

import (
	"time"

	"github.com/walnutcove/walnutcove/control/sched"
)

// gapReportInterval is the minimum time between two reports of a share gap in one shard.
const gapReportInterval = time.Second

// ShareGap reports that a workspace was granted less than half as much as another one at a
// shard scheduled here while its requests were refused.
type ShareGap struct {
	Shard ShardID
	Gap   sched.Gap
}

func (ShareGap) isCommand() {}

// reportShareGap reports the widest gap of a shard, if there is one.
func (m *Machine) reportShareGap(s *shard) {
	if m.now < s.nextGapAt {
		return
	}
	s.nextGapAt = m.now + gapReportInterval
	gap, found := s.shares.WidestGap(m.now)
	if !found {
		return
	}
	m.counters.ShareGaps++
	m.emit(ShareGap{Shard: s.id, Gap: gap})
}
