package control

import (
	"time"

	"github.com/walnutcove/walnutcove/control/speed"
)

// targetReading records what a target in its current start reported about its load, age ago.
func (m *Machine) targetReading(t *target, reading speed.Reading, age time.Duration) {}
