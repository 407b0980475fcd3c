package link

const (
	// maxKeptBatchBytes bounds a buffer that is kept for further frames, and maxKeptBatches their
	// number: one is being written while the other is filled.
	maxKeptBatchBytes = 2 * maxBatchBytes
	maxKeptBatches    = 2
)

// batch is encoded frames that are written together.
type batch struct {
	data []byte
	// last is the highest number of a request that begins in this batch or an earlier one.
	last uint64
}

// outbox holds the frames of a source that are not written, in batches. Requests are copied into
// it, once.
type outbox struct {
	batches []batch
	free    [][]byte
	bytes   int // of all batches and of the one that is being written
}

// add returns the batch that takes a frame of a size, with its length beforehand.
func (o *outbox) add(size int) (b *batch, before int) {
	last := len(o.batches) - 1
	if last < 0 || len(o.batches[last].data)+size > maxBatchBytes {
		o.batches = append(o.batches, batch{data: o.buffer()})
		last++
	}
	return &o.batches[last], len(o.batches[last].data)
}

// buffer returns an empty buffer.
func (o *outbox) buffer() []byte {
	if len(o.free) == 0 {
		return nil
	}
	last := len(o.free) - 1
	buffer := o.free[last]
	o.free = o.free[:last]
	return buffer
}

// append appends a frame. number is that of a request that the frame begins, or 0.
func (o *outbox) append(size int, number uint64, encode func([]byte) []byte) {
	b, before := o.add(size)
	b.data = encode(b.data)
	b.last = max(b.last, number)
	o.bytes += len(b.data) - before
}

// take removes the first batch.
func (o *outbox) take() (b batch, ok bool) {
	if len(o.batches) == 0 {
		return batch{}, false
	}
	b = o.batches[0]
	rest := copy(o.batches, o.batches[1:])
	o.batches[rest] = batch{}
	o.batches = o.batches[:rest]
	return b, true
}

// wrote accounts for a batch that was written and keeps its buffer if it is small.
func (o *outbox) wrote(data []byte) {
	o.bytes -= len(data)
	if cap(data) <= maxKeptBatchBytes && len(o.free) < maxKeptBatches {
		o.free = append(o.free, data[:0])
	}
}
