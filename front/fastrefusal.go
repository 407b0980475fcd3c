package front

import (
	"bufio"
	"bytes"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxFastRefusalBytes is the largest request that the fast path reads and refuses.
	// Most calls to engines and services are smaller; the HTTP library refuses larger ones.
	maxFastRefusalBytes = 32 << 10
	// refusalsPerCheck is the number of fast refusals after which the goroutine checks whether
	// its turn on the processor is over.
	refusalsPerCheck = 16
)

// fastRefuser refuses requests on new connections while the server sheds load, or passes them to
// executors. By the time a
// connection is accepted its request has usually arrived too, so four system calls refuse it:
// accept, read, write and close. It needs no goroutine, poller entry or deadline: a router that
// refuses thousands of requests a second would otherwise have little processor time left for
// the requests that it serves.
//
// It is used only by the goroutine that accepts connections.
type fastRefuser struct {
	server       *Server
	rawListener  syscall.RawConn
	readBuffer   [maxFastRefusalBytes]byte
	source       bytes.Reader
	reader       *bufio.Reader
	ctx          fasthttp.RequestCtx
	output       bytes.Buffer
	writer       *bufio.Writer
	refusalCount int
	turn         acceptTurn
}

// newFastRefuser returns nil if the listener has no descriptor or the server never sheds load.
func newFastRefuser(listener net.Listener, server *Server) *fastRefuser {
	withRaw, ok := listener.(syscall.Conn)
	if !ok || server.options.Shed == nil {
		return nil
	}
	raw, err := withRaw.SyscallConn()
	if err != nil {
		return nil // the listener is closed: the next accept reports it
	}
	if server.offloads != nil {
		setListenerNoDelay(raw)
	}
	f := &fastRefuser{server: server, rawListener: raw}
	f.reader = bufio.NewReaderSize(&f.source, server.options.MaxHeaderBytes)
	f.writer = bufio.NewWriter(&f.output)
	return f
}

// setListenerNoDelay disables Nagle's algorithm for the connections that a listener accepts: they
// inherit the option. Without it, an event would wait until the caller has acknowledged the last.
func setListenerNoDelay(raw syscall.RawConn) {
	// If this fails, events are late, but still correct.
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	})
}

// refuseWaiting accepts pending connections and refuses their requests for as long as the
// server sheds load. It returns a connection whose request the fast path does not refuse; or
// nil, and the admission of the connection that is accepted next.
func (f *fastRefuser) refuseWaiting() (*callerConn, admission) {
	f.turn.begin(time.Now())
	for f.server.options.Shed(false) {
		fd, ok := f.acceptWaiting()
		if !ok {
			return nil, undecided
		}
		if conn := f.refuse(fd); conn != nil {
			return conn, conn.admission
		}
		if f.refusalCount++; f.refusalCount%refusalsPerCheck == 0 {
			f.turn.yield()
		}
	}
	return nil, admitted
}

// acceptWaiting accepts a pending connection. If that fails, the listener's own accept follows
// and reports the failure.
func (f *fastRefuser) acceptWaiting() (fd int, ok bool) {
	var err error
	controlErr := f.rawListener.Control(func(listener uintptr) {
		fd, _, err = syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	})
	if err == syscall.EAGAIN {
		f.server.backlog.noteDrained(time.Now())
	}
	if controlErr != nil || err != nil {
		return 0, false
	}
	f.server.acceptedAt.Store(f.server.sinceStart())
	return fd, true
}

// refuse reads and refuses the request of a connection. It returns the connection for the HTTP
// library to read if the request is to be served all the same, has not arrived whole or is not
// a simple one.
func (f *fastRefuser) refuse(fd int) *callerConn {
	n, err := syscall.Read(fd, f.readBuffer[:])
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return f.handOver(fd, nil, rejected)
	case err != nil || n == 0:
		closeDescriptor(fd) // the caller has closed the connection
		return nil
	case !f.parseSimple(f.readBuffer[:n]):
		return f.handOver(fd, bytes.Clone(f.readBuffer[:n]), rejected)
	}
	f.ctx.Request.SetRequestURIBytes(f.ctx.Request.Header.RequestURI())
	shed, countRefused := f.server.confirmShed(&f.ctx, false)
	if !shed {
		return f.handOver(fd, bytes.Clone(f.readBuffer[:n]), admitted)
	}
	header := &f.ctx.Request.Header
	id := f.server.requestIDOf(header).text
	if offloads := f.server.offloads; offloads != nil && offloads.sender.Available() {
		raw := f.clone(f.readBuffer[:n])
		if raw != nil && offloads.offer(fd, &f.ctx, id, raw, countRefused) {
			return nil
		}
	}
	if countRefused != nil {
		countRefused()
	}
	f.writeRefusal(fd, id)
	closeDescriptor(fd)
	return nil
}

// parseSimple reads the headers and reports whether the request is a simple one (no Expect
// header, no chunks) that has arrived whole, and no other one behind it: closing with unread
// bytes would reset the connection and lose the answer, and a second request would be dropped.
func (f *fastRefuser) parseSimple(request []byte) bool {
	f.source.Reset(request)
	f.reader.Reset(&f.source)
	header := &f.ctx.Request.Header
	header.Reset()
	if err := header.Read(f.reader); err != nil {
		return false // the HTTP library reports what is wrong with it
	}
	if len(header.Peek(fasthttp.HeaderExpect)) > 0 || header.ContentLength() == lengthChunked {
		return false
	}
	behind := f.reader.Buffered() + f.source.Len() - max(0, header.ContentLength())
	return behind >= 0 && behind <= maxStrayBytes
}

// clone returns a copy of the request in read, whose headers were parsed, or nil if the copy would not
// be readable: the HTTP library accepts bare line ends only before an empty line in CRLFs, which may
// follow the request.
func (f *fastRefuser) clone(read []byte) []byte {
	headBytes := len(read) - f.reader.Buffered() - f.source.Len()
	if !bytes.HasSuffix(read[:headBytes], []byte("\r\n\r\n")) {
		return nil
	}
	return cloneRequest(read, headBytes, &f.ctx.Request.Header)
}

// writeRefusal writes the refusal of the request whose headers were parsed.
func (f *fastRefuser) writeRefusal(fd int, id string) {
	f.server.writeOverloaded(&f.ctx, id)
	f.ctx.SetConnectionClose()
	fastRefusals.Inc()
	f.output.Reset()
	f.writer.Reset(&f.output)
	if err := f.ctx.Response.Write(f.writer); err != nil {
		return // unreachable: writes to a buffer do not fail
	}
	if err := f.writer.Flush(); err != nil {
		return
	}
	// A failed write means that the caller is gone.
	_, _ = syscall.Write(fd, f.output.Bytes())
}

// handOver makes a connection from a descriptor. read holds the bytes already read from it.
func (f *fastRefuser) handOver(fd int, read []byte, decision admission) *callerConn {
	conn, err := connOf(fd)
	if err != nil {
		acceptFailures.Inc()
		f.server.log.Warn("front: Could not make a connection from an accepted descriptor.", "error", err)
		return nil
	}
	c := newCallerConn(conn, f.server)
	c.unread = read
	c.admission = decision
	return c
}

// connOf makes a connection from a descriptor, which it takes over.
func connOf(fd int) (net.Conn, error) {
	file := os.NewFile(uintptr(fd), "")
	defer file.Close() // the connection has a duplicate of the descriptor
	return net.FileConn(file)
}

// closeDescriptor closes the descriptor of a connection that nothing else refers to.
func closeDescriptor(fd int) {
	_ = syscall.Close(fd) // a failure cannot be handled
}
