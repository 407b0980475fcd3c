package world

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/walnutcove/walnutcove/platform/wire"
)

// Replica is a replica whose connections a case serves itself.
type Replica struct {
	ID, Address string
}

// StartReplica registers a replica of a service and serves each of its connections with serve.
// control sets options of its listening socket.
func (w *World) StartReplica(id, service string, slots int, serve func(r *Replica, conn *Conn), control ...func(fd uintptr) error) (*Replica, error) {
	config := net.ListenConfig{Control: controlOf(control)}
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{ID: id, Address: listener.Addr().String()}
	w.OnClose(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(r, &Conn{Conn: conn, Reader: bufio.NewReader(conn)})
			}()
		}
	}()
	// The store shows no change where only the count of heartbeats differs, so one write stands for all.
	w.Store.Put(wire.TableReplicas, id, wire.Replica{
		Service: service, Address: r.Address, Zone: Zone, Software: "v1", Slots: slots, State: wire.StateReady,
		Heartbeats: 1, StartedAt: time.Now().UnixMilli(),
	})
	return r, nil
}

func controlOf(options []func(fd uintptr) error) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			for _, set := range options {
				err = errors.Join(err, set(fd))
			}
		})
		return errors.Join(controlErr, err)
	}
}

// Conn is a connection at a replica.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
}

// ReadHead reads the head of the next request. The body is not read.
func (c *Conn) ReadHead() (*http.Request, error) { return http.ReadRequest(c.Reader) }
