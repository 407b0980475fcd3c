package managed

import (
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// crashDelay is the time from the beginning of a stream to the crash that a part causes.
const crashDelay = 50 * time.Millisecond

// crashIfCaused crashes the replica soon if the prompt has the part of CrashOnPart.
func (r *Replica) crashIfCaused(parts string) {
	cause := r.options.CrashOnPart
	shared := strings.Split(parts, ",")
	for _, part := range shared[:len(shared)-1] {
		if id, _, _ := strings.Cut(part, ":"); cause != "" && id == cause {
			time.AfterFunc(crashDelay, r.Crash)
		}
	}
}

// Crash resets all connections, and new ones from then on.
func (r *Replica) Crash() {
	r.mu.Lock()
	if r.crashed {
		r.mu.Unlock()
		return
	}
	r.crashed = true
	for conn := range r.conns {
		breakConn(conn, true)
	}
	r.mu.Unlock()
	if r.options.OnCrash != nil {
		r.options.OnCrash(r)
	}
}

// Restart lets a crashed replica serve again, as a new start under the same id.
func (r *Replica) Restart() {
	r.mu.Lock()
	r.crashed = false
	r.startedAt = time.Now()
	r.cachedParts = nil
	r.mu.Unlock()
	r.Renew()
}

// trackConn keeps conns up to date, and resets new connections after a crash.
func (r *Replica) trackConn(conn net.Conn, state fasthttp.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		r.conns[conn] = true
		if r.crashed {
			breakConn(conn, true)
		}
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(r.conns, conn)
	}
}
