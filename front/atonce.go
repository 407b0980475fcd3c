package front

import (
	"bufio"
	"bytes"
	"net"
	"os"
	"runtime"
	"syscall"

	"github.com/valyala/fasthttp"
)

const (
	// atOnceBytes is how much of a request is read to refuse it at once. Calls of engines
	// and services are mostly smaller; a larger one is refused by the HTTP library.
	atOnceBytes = 32 << 10
	// atOnceTurn is how many requests are refused at once before other goroutines have
	// their turn: refusals must not hold up the answers of requests that were taken.
	atOnceTurn = 16
)

// atOnce refuses requests on new connections while the server sheds. A request has most
// often arrived with its connection by then, so that four system calls refuse it: accept,
// read, write and close. No goroutine, poller entry or deadline is made for it. A router
// that has to refuse thousands of requests a second has little time left for others.
//
// Only the goroutine that accepts uses it.
type atOnce struct {
	server *Server
	accept syscall.RawConn
	in     [atOnceBytes]byte
	source bytes.Reader
	reader *bufio.Reader
	ctx    fasthttp.RequestCtx
	out    bytes.Buffer
	writer *bufio.Writer
	turn   int
}

// newAtOnce returns nil if the listener has no descriptor, or the server never sheds.
func newAtOnce(listener net.Listener, server *Server) *atOnce {
	withRaw, ok := listener.(syscall.Conn)
	if !ok || server.options.Shed == nil {
		return nil
	}
	raw, err := withRaw.SyscallConn()
	if err != nil {
		return nil // the listener is closed: the next accept says so
	}
	a := &atOnce{server: server, accept: raw}
	a.reader = bufio.NewReaderSize(&a.source, server.options.MaxHeaderBytes)
	a.writer = bufio.NewWriter(&a.out)
	return a
}

// refuseWaiting refuses requests on the connections that wait, for as long as the server
// sheds. It returns a connection whose request cannot be refused at once; or nil, and what
// is decided of the next connection.
func (a *atOnce) refuseWaiting() (*callerConn, admission) {
	for a.server.options.Shed(false) {
		fd, ok := a.next()
		if !ok {
			return nil, undecided
		}
		if conn := a.refuse(fd); conn != nil {
			return conn, conn.admission
		}
		if a.turn++; a.turn%atOnceTurn == 0 {
			runtime.Gosched()
		}
	}
	return nil, admitted
}

// next accepts a connection that waits. Where that fails the listener's own accept follows,
// which reports the failure.
func (a *atOnce) next() (fd int, ok bool) {
	var err error
	controlErr := a.accept.Control(func(listener uintptr) {
		fd, _, err = syscall.Accept4(int(listener), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	})
	if controlErr != nil || err != nil {
		return 0, false
	}
	a.server.acceptedAt.Store(a.server.sinceStart())
	return fd, true
}

// refuse reads and refuses the request of a connection. If that has not arrived whole, or is
// not plain, it returns the connection for the HTTP library to read it.
func (a *atOnce) refuse(fd int) *callerConn {
	n, err := syscall.Read(fd, a.in[:])
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return a.handOver(fd, nil)
	case err != nil || n == 0:
		closeDescriptor(fd) // the caller is gone
		return nil
	case !a.parse(a.in[:n]):
		return a.handOver(fd, bytes.Clone(a.in[:n]))
	}
	a.answer(fd)
	closeDescriptor(fd)
	return nil
}

// parse reads the headers, and says whether the request is plain and there to its end: what
// is left unread would reset the connection, and the answer with it.
func (a *atOnce) parse(request []byte) bool {
	a.source.Reset(request)
	a.reader.Reset(&a.source)
	header := &a.ctx.Request.Header
	header.Reset()
	if err := header.Read(a.reader); err != nil {
		return false // the HTTP library says what is wrong with it
	}
	if len(header.Peek(fasthttp.HeaderExpect)) > 0 || header.ContentLength() == lengthChunked {
		return false
	}
	return a.reader.Buffered()+a.source.Len() >= header.ContentLength()
}

// answer writes the refusal of the request whose headers were read.
func (a *atOnce) answer(fd int) {
	a.ctx.Request.SetRequestURIBytes(a.ctx.Request.Header.RequestURI())
	a.server.refuseBusy(&a.ctx)
	refusedAtOnce.Inc()
	a.out.Reset()
	a.writer.Reset(&a.out)
	if err := a.ctx.Response.Write(a.writer); err != nil {
		return // writes to a buffer do not fail
	}
	if err := a.writer.Flush(); err != nil {
		return
	}
	// A caller that does not take its refusal is gone.
	_, _ = syscall.Write(fd, a.out.Bytes())
}

// handOver makes a connection of a descriptor. read is what was read of it.
func (a *atOnce) handOver(fd int, read []byte) *callerConn {
	file := os.NewFile(uintptr(fd), "")
	defer file.Close() // the connection has a copy
	conn, err := net.FileConn(file)
	if err != nil {
		acceptFailures.Inc()
		a.server.log.Warn("front: Connection could not be taken over.", "error", err)
		return nil
	}
	c := newCallerConn(conn, a.server)
	c.unread = read
	c.admission = turnedAway
	return c
}

// closeDescriptor closes a connection that nothing else refers to.
func closeDescriptor(fd int) {
	_ = syscall.Close(fd) // nothing can be done about a failure
}
