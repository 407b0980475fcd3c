package link

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// ChannelName is the name of the channel of package peer that carries links. It changes with
// versions of the frames that do not understand each other.
const ChannelName = "offload-1"

// Errors with which a link ends, returned by Err. Errors of the connection are returned as they are.
var (
	// ErrClosed reports that Close was called.
	ErrClosed = errors.New("link: closed")
	// ErrSilent reports that the other side sent nothing for Options.SilenceTimeout, and that nobody
	// waits for the requests that are open.
	ErrSilent = errors.New("link: no frame was received in time")
	// ErrIdle reports that the link was not used for Options.IdleTimeout.
	ErrIdle = errors.New("link: idle")
	// ErrDrained reports that the executor asked for the end of the link.
	ErrDrained = errors.New("link: drained")
)

const (
	// readBufferBytes is the initial size of the read buffer, which grows to the longest frame.
	readBufferBytes = 32 << 10
	// maxBatchBytes bounds the bytes of one write, apart from the last frame in it.
	maxBatchBytes = 32 << 10
	// pauseGrace is the part of Options.SilenceTimeout that a process which was paused still
	// waits for frames: those that arrived in the meantime have to be read first.
	pauseGrace = 4
)

// endpoint is what differs between the two sides of a link. The methods with the suffix Locked
// are called with connection.mu held.
type endpoint interface {
	// openLocked returns the number of requests for which the other side has to send frames.
	openLocked() int
	// isAwaitedLocked reports whether somebody waits for a request that is open.
	isAwaitedLocked() bool
	// takeLocked returns the next bytes to be written, or nil.
	takeLocked() []byte
	// wroteLocked is called after the bytes were written.
	wroteLocked(batch []byte)
	// checkLocked is called every Options.CheckInterval while requests are open. It returns
	// whether frames are to be written, and whether checks must go on without open requests.
	checkLocked(now time.Duration) (write, again bool)
	// releaseBuffersLocked is called when no request is open any more.
	releaseBuffersLocked()
	// handle handles a frame. Only the goroutine that reads calls it.
	handle(f frame) error
	// finish ends all requests. It is called once, by the goroutine that reads, after the end of
	// the link.
	finish()
}

// connection is what both sides of a link have in common: a goroutine that reads, one that
// writes, and a timer. Times are offsets from started.
type connection struct {
	side    endpoint
	conn    net.Conn
	options Options
	// idle is the time without open requests after which the link ends; if framesKeepOpen is
	// set, also without received frames.
	idle           time.Duration
	framesKeepOpen bool
	started        time.Time
	// wake signals the writer that frames are to be written.
	wake chan struct{}
	// ended is closed when the link ends, done when its requests have ended too.
	ended chan struct{}
	done  chan struct{}
	heard atomic.Int64 // time of the last read

	mu  sync.Mutex
	err error
	// checking is set while the timer is due within Options.CheckInterval, otherwise it is due
	// when the link has been idle for long enough.
	checking bool
	timer    *time.Timer
	timerDue time.Duration
	// quietSince is the earliest time from which on silence counts.
	quietSince time.Duration
	// silentChecks counts the checks in a row that found the other side silent.
	silentChecks int
	// writing is set while a write is in progress, since wroteAt; otherwise that is the start of
	// the last one.
	writing bool
	wroteAt time.Duration
}

func (c *connection) init(side endpoint, conn net.Conn, options Options, idle time.Duration) {
	c.side = side
	c.conn = conn
	c.options = options
	c.idle = idle
	c.started = time.Now()
	c.wake = make(chan struct{}, 1)
	c.ended = make(chan struct{})
	c.done = make(chan struct{})
	c.timerDue = idle
}

// start starts the goroutines and the timer.
func (c *connection) start() {
	c.mu.Lock()
	c.timer = time.AfterFunc(c.idle, c.check)
	c.mu.Unlock()
	go c.writeLoop()
	go c.readLoop()
}

func (c *connection) now() time.Duration { return time.Since(c.started) }

// Done is closed when the link and all of its requests have ended.
func (c *connection) Done() <-chan struct{} { return c.done }

// Err returns why the link ended, or nil.
func (c *connection) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Close ends the link. It does not wait for Done.
func (c *connection) Close() error {
	c.end(ErrClosed)
	return nil
}

// end ends the link. Only the first call has an effect.
func (c *connection) end(err error) {
	c.mu.Lock()
	err = c.endLocked(err)
	c.mu.Unlock()
	if err != nil {
		c.closeConn(err)
	}
}

// endLocked ends the link without closing its connection: no request is taken from then on. It
// returns nil if the link has already ended, and err if the caller is to call closeConn.
func (c *connection) endLocked(err error) error {
	if c.err != nil || err == nil {
		return nil
	}
	c.err = err
	c.timer.Stop()
	close(c.ended)
	return err
}

// closeConn closes the connection of a link that has ended.
func (c *connection) closeConn(err error) {
	c.options.Log.Info("link: Link ended.", "remote", c.conn.RemoteAddr(), "reason", err)
	if closeErr := c.conn.Close(); closeErr != nil {
		c.options.Log.Debug("link: Closing the connection failed.", "error", closeErr)
	}
}

// wakeWriter makes the writer write what is pending.
func (c *connection) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// activateLocked starts the checks that run while requests are open.
func (c *connection) activateLocked() {
	if c.checking || c.err != nil {
		return
	}
	c.checking = true
	now := c.now()
	c.quietSince = now
	c.resetTimerLocked(now, c.options.CheckInterval)
}

func (c *connection) resetTimerLocked(now, wait time.Duration) {
	c.timerDue = now + wait
	c.timer.Reset(wait)
}

// silenceLocked returns the time for which the other side should have sent something and did not.
func (c *connection) silenceLocked(now time.Duration) time.Duration {
	return now - max(time.Duration(c.heard.Load()), c.quietSince)
}

// check runs when the timer fires.
func (c *connection) check() {
	c.mu.Lock()
	write, err := c.runCheckLocked(c.now())
	c.mu.Unlock()
	if err != nil {
		c.closeConn(err)
	}
	if write {
		c.wakeWriter()
	}
}

// runCheckLocked returns whether frames are to be written. If the link ends, it returns why, and
// closeConn is to be called.
func (c *connection) runCheckLocked(now time.Duration) (write bool, err error) {
	if c.err != nil {
		return false, nil
	}
	open := c.side.openLocked()
	if !c.checking && open == 0 {
		return false, c.endLocked(c.checkIdleLocked(now))
	}
	if open == 0 {
		c.quietSince = now
	}
	if now-c.timerDue > c.options.PauseThreshold {
		c.quietSince = now - c.options.SilenceTimeout + c.options.SilenceTimeout/pauseGrace
	}
	c.checkSilenceLocked(now, open)
	if c.isSilentLocked(now) && !c.side.isAwaitedLocked() {
		return false, c.endLocked(ErrSilent)
	}
	write, again := c.side.checkLocked(now)
	c.checking = again || open > 0
	if c.checking {
		c.resetTimerLocked(now, c.options.CheckInterval)
	} else {
		c.resetTimerLocked(now, c.idle)
		c.releaseBuffersLocked()
	}
	return write, nil
}

// releaseBuffersLocked releases buffers that a link without open requests does not need.
func (c *connection) releaseBuffersLocked() {
	c.side.releaseBuffersLocked()
	if stream, ok := c.conn.(interface{ Shrink() }); ok {
		stream.Shrink()
	}
}

// checkSilenceLocked counts the checks in a row that found the other side silent.
func (c *connection) checkSilenceLocked(now time.Duration, open int) {
	if open == 0 || c.silenceLocked(now) <= c.options.SilenceTimeout {
		c.silentChecks = 0
		return
	}
	c.silentChecks++
}

// isSilentLocked reports whether the other side is silent, and was in two checks in a row. Between
// them the goroutine that reads has time for what arrived while a process with little processor time
// did not run. A side that is silent may be paused and go on, so its requests stay open while somebody
// waits for them; one that is gone ends the connection.
func (c *connection) isSilentLocked(now time.Duration) bool {
	return c.silentChecks > 1 && c.silenceLocked(now) > c.options.SilenceTimeout
}

// checkIdleLocked returns ErrIdle if the link was not used for long enough.
func (c *connection) checkIdleLocked(now time.Duration) error {
	unused := now - time.Duration(c.heard.Load())
	if !c.framesKeepOpen || unused >= c.idle {
		return ErrIdle
	}
	c.resetTimerLocked(now, c.idle-unused)
	return nil
}

// writeLoop writes pending frames until the link ends.
func (c *connection) writeLoop() {
	wait := time.NewTimer(time.Hour)
	defer wait.Stop()
	for c.awaitBatch(wait) {
		for c.writeBatch() {
		}
	}
}

// awaitBatch waits for frames and, if the last write was less than Options.GatherTime ago, for
// more of them. It returns false when the link has ended.
func (c *connection) awaitBatch(wait *time.Timer) bool {
	select {
	case <-c.wake:
	case <-c.ended:
		return false
	}
	c.mu.Lock()
	rest := c.options.GatherTime - (c.now() - c.wroteAt)
	c.mu.Unlock()
	if rest <= 0 {
		return true
	}
	wait.Reset(rest)
	select {
	case <-wait.C:
		return true
	case <-c.ended:
		return false
	}
}

// writeBatch writes the next batch. It returns false if there is none or the link has ended.
func (c *connection) writeBatch() bool {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return false
	}
	batch := c.side.takeLocked()
	c.writing = batch != nil
	if batch != nil {
		c.wroteAt = c.now()
	}
	c.mu.Unlock()
	if batch == nil {
		return false
	}
	if _, err := c.conn.Write(batch); err != nil {
		c.end(err)
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.side.wroteLocked(batch)
	return true
}

// readLoop handles frames until the link ends, and ends the requests.
func (c *connection) readLoop() {
	c.end(c.readFrames())
	c.side.finish()
	close(c.done)
}

// readFrames handles frames until an error.
func (c *connection) readFrames() error {
	buffer := make([]byte, readBufferBytes)
	length := 0
	for {
		n, err := c.conn.Read(buffer[length:])
		if err != nil {
			return err
		}
		c.heard.Store(int64(c.now()))
		rest, need, err := c.handleAll(buffer[:length+n])
		if err != nil {
			return err
		}
		if need > len(buffer) {
			buffer = append(make([]byte, 0, need), rest...)[:need]
		} else {
			copy(buffer, rest)
		}
		length = len(rest)
	}
}

// handleAll handles the complete frames of a buffer. It returns the bytes that are left, and the
// size of the incomplete frame that they begin, if known.
func (c *connection) handleAll(buffer []byte) (rest []byte, need int, err error) {
	rest = buffer
	for {
		var message []byte
		message, rest, need, err = nextFrame(rest)
		if message == nil || err != nil {
			return rest, need, err
		}
		f, err := decodeFrame(message)
		if err != nil {
			return rest, 0, err
		}
		if err := c.side.handle(f); err != nil {
			return rest, 0, err
		}
	}
}
