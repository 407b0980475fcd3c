// Package decode predicts how fast targets generate answers while they read prompts, and limits
// the reading so that answers in progress end before their deadlines.
//
// An engine that batches continuously reads a chunk of a prompt in the same step in which it
// generates one token of each answer. While it reads, a step takes several times as long, so
// answers grow at one rate while the target reads and at a higher one while it does not.
//
// The types of this package are not safe for concurrent use.
package decode

const (
	// initialIdleRate and initialReadingRate are the assumed rates before any answer was
	// measured, in tokens per second.
	initialIdleRate    = 130.0
	initialReadingRate = 30.0
	// sampleDecay is the weight that older samples keep with each new one: about the last
	// thousand answers count.
	sampleDecay = 0.999
	// priorSeconds is the weight of the initial rates, as the time of answers generated at them.
	priorSeconds = 20.0
	// minLearnedTokens is the least length of an answer from which rates are learned. Those of
	// shorter ones depend on when within a step the answer began.
	minLearnedTokens = 32
	// minRate bounds the learned rates, in tokens per second.
	minRate = 1.0
)

// Span is a time in which a target generated answers, in seconds: how long it read prompts
// meanwhile, and how long it did not.
type Span struct{ Reading, Idle float64 }

// Model is the rate at which the targets of a pool generate one answer, in tokens per second. It
// is fitted by least squares to the answers that ended.
//
// Lengths are those that callers state. They may be wrong, but not in one direction.
type Model struct {
	// idle is the rate while the target reads nothing, and reading that while it reads.
	idle, reading float64
	// gram and moment are the sums of the normal equations.
	gram   [2][2]float64
	moment [2]float64
	// Frozen keeps the initial rates.
	Frozen bool
}

// NewModel returns a model that has measured no answer.
func NewModel() *Model {
	m := &Model{}
	m.fit()
	return m
}

// tokens returns how many tokens of an answer are generated in a span.
func (m *Model) tokens(s Span) float64 { return m.idle*s.Idle + m.reading*s.Reading }

// readingBudget returns for how much of the time left a target may read so that it still generates
// the given number of tokens, in seconds; negative if it cannot even without reading.
func (m *Model) readingBudget(tokens, left float64) float64 {
	return (m.idle*left - tokens) / (m.idle - m.reading)
}

// learn records that an answer of the given length was generated in a span, in seconds of a
// target of usual speed.
func (m *Model) learn(tokens float64, s Span) {
	if m.Frozen || tokens < minLearnedTokens || s.Reading+s.Idle <= 0 {
		return
	}
	// The error of a stated length grows with the length.
	weight := 1 / max(minLearnedTokens, m.tokens(s))
	x := [2]float64{s.Idle, s.Reading}
	for i := range x {
		for j := range x {
			m.gram[i][j] = sampleDecay*m.gram[i][j] + weight*x[i]*x[j]
		}
		m.moment[i] = sampleDecay*m.moment[i] + weight*x[i]*tokens
	}
	m.fit()
}

// fit solves the normal equations, with the initial rates as additional samples.
func (m *Model) fit() {
	a, b := m.gram, m.moment
	for i, rate := range [2]float64{initialIdleRate, initialReadingRate} {
		a[i][i] += priorSeconds / rate
		b[i] += priorSeconds
	}
	determinant := a[0][0]*a[1][1] - a[0][1]*a[1][0]
	m.reading = max(minRate, (a[0][0]*b[1]-a[1][0]*b[0])/determinant)
	m.idle = max(2*m.reading, (a[1][1]*b[0]-a[0][1]*b[1])/determinant)
}
