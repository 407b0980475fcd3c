package speed

import (
	"math"
	"time"
)

const (
	// binsPerDoubling and bins define the bins of a histogram: their bounds are minValue times
	// the powers of 2^(1/4). The usual reading is in the middle of a bin.
	binsPerDoubling = 4
	bins            = 24
	minValue        = 0.2726
	// priorTime is the time for which a target counts as having reported its usual speed before
	// its first reading. A first reading in a slow period must not count as usual.
	priorTime = 1.0
	// maxHistory is the time after which the weights are halved, so that the median follows a
	// lasting change within about this time.
	maxHistory = 20.0
	// maxReadingWeight bounds the time that one reading counts for: after a long pause it says
	// little about the pause. firstReadingWeight is that of the first reading.
	maxReadingWeight   = 100 * time.Millisecond
	firstReadingWeight = 10 * time.Millisecond
)

// histogram holds the readings of one target, weighted by time.
type histogram struct {
	weights [bins]float32
	// means are the mean values of the bins.
	means [bins]float32
	total float32
}

// add adds a reading that holds since the previous one, and returns the median.
func (h *histogram) add(value float64, since time.Duration, first bool) float64 {
	if first {
		h.put(1, priorTime)
		since = firstReadingWeight
	}
	h.put(value, min(since, maxReadingWeight).Seconds())
	if h.total > maxHistory {
		h.halve()
	}
	return h.median()
}

func (h *histogram) put(value, weight float64) {
	i := min(max(0, int(binsPerDoubling*math.Log2(value/minValue))), bins-1)
	h.weights[i] += float32(weight)
	h.total += float32(weight)
	if h.weights[i] > 0 {
		h.means[i] += (float32(value) - h.means[i]) * float32(weight) / h.weights[i]
	}
}

func (h *histogram) halve() {
	h.total = 0
	for i := range h.weights {
		h.weights[i] /= 2
		h.total += h.weights[i]
	}
}

// median returns the mean of the bin that contains the median.
func (h *histogram) median() float64 {
	below := float32(0)
	for i, weight := range h.weights {
		below += weight
		if 2*below >= h.total && weight > 0 {
			return float64(h.means[i])
		}
	}
	return 1
}
