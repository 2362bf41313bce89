// Package partition provides a listener that loses the packets of chosen clients, like a link that
// is down. It needs no privileges: the packets are dropped by socket filters.
package partition

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// networkOffset is SKF_NET_OFF: offsets from it on count from the IP header. sourceOffset is the
// offset of the source address in that header.
const (
	networkOffset = 1<<32 - 0x100000
	sourceOffset  = 12
	// acceptAll is the number of bytes of a packet that a filter keeps.
	acceptAll = 1 << 18
)

// Listener is a TCP listener for IPv4 clients that are known by their source address. It is safe
// for concurrent use.
type Listener struct {
	*net.TCPListener

	mu sync.Mutex
	// lost holds the clients whose new connections get no reply.
	lost map[netip.Addr]bool
	// open holds the accepted connections that may be open, with their clients.
	open map[*net.TCPConn]netip.Addr
}

// Listen listens on an IPv4 address.
func Listen(address string) (*Listener, error) {
	var config net.ListenConfig
	// Sockets of Multipath TCP take no filter.
	config.SetMultipathTCP(false)
	l, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: l.(*net.TCPListener), lost: map[netip.Addr]bool{}, open: map[*net.TCPConn]netip.Addr{}}, nil
}

// Accept waits for the next connection, which is a *net.TCPConn.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	return c, nil
}

// LoseNew drops the packets with which the client opens connections. Open ones live on.
func (l *Listener) LoseNew(client netip.Addr) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost[client] = true
	return l.filterNew()
}

// LoseAll drops all packets of the client, so that its open connections hang, too. What is sent to
// the client still arrives.
func (l *Listener) LoseAll(client netip.Addr) error {
	if err := l.LoseNew(client); err != nil {
		return err
	}
	l.each(client, func(c *net.TCPConn) { _ = attach(c, dropFrom(map[netip.Addr]bool{client: true})) })
	return nil
}

// Reset resets the client's open connections and drops the packets with which it opens others.
func (l *Listener) Reset(client netip.Addr) error {
	if err := l.LoseNew(client); err != nil {
		return err
	}
	l.each(client, func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	return nil
}

// Restore ends the effects of the other methods for the client, except for closed connections.
func (l *Listener) Restore(client netip.Addr) error {
	l.mu.Lock()
	delete(l.lost, client)
	err := l.filterNew()
	l.mu.Unlock()
	l.each(client, func(c *net.TCPConn) { _ = attach(c, dropFrom(nil)) })
	return err
}

// each calls f for the client's connections and forgets those that are closed.
func (l *Listener) each(client netip.Addr, f func(*net.TCPConn)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, from := range l.open {
		if from == client {
			f(c)
		}
		if raw, err := c.SyscallConn(); err != nil || raw.Control(func(uintptr) {}) != nil {
			delete(l.open, c)
		}
	}
}

// filterNew attaches the filter for new connections. The caller holds l.mu.
func (l *Listener) filterNew() error { return attach(l.TCPListener, dropFrom(l.lost)) }

// dropFrom returns a filter that drops the packets of the clients.
func dropFrom(clients map[netip.Addr]bool) []unix.SockFilter {
	program := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: networkOffset + sourceOffset}}
	for c := range clients {
		address := c.As4()
		program = append(program,
			unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: binary.BigEndian.Uint32(address[:])},
			unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0})
	}
	return append(program, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: acceptAll})
}

func attach(socket syscall.Conn, program []unix.SockFilter) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	if err != nil {
		return err
	}
	return failed
}
