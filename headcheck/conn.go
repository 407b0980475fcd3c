package headcheck

import "net"

// Conn is a client's connection that checks the heads of the answers, for clients that send a request only after the
// answer to the one before. A read that meets a head that is not allowed fails.
type Conn struct {
	net.Conn
	checker Checker
}

// NewConn returns a connection that checks the answers read from c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn. The next bytes that are read begin an answer.
func (c *Conn) Write(p []byte) (int, error) {
	c.checker.Reset()
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if allowed, checkErr := c.checker.Check(p[:n]); checkErr != nil {
		return allowed, checkErr
	}
	return n, err
}
