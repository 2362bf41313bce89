// Package datagram carries reports between instances. Each report replaces the
// one before, so that a lost one needs no repetition, and no connection can go
// silent.
package datagram

import (
	"errors"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"tamarackrun/internal/protocol/wire"
)

// maxSize is the largest datagram over IPv4, in bytes.
const maxSize = 65507

// Socket sends and receives reports.
type Socket struct {
	// Receive is set before Run.
	Receive func(report *wire.InstanceReport)

	conn *net.UDPConn
}

// New binds the address. The clean-up function closes the socket.
func New(address string) (*Socket, func(), error) {
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, nil, eris.Wrap(err, "report address")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, nil, eris.Wrap(err, "report address")
	}
	return &Socket{conn: conn}, func() { _ = conn.Close() }, nil
}

// Run receives until the socket is closed.
func (s *Socket) Run() {
	buffer := make([]byte, maxSize)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A peer without a listener leads to an error on the next read.
			continue
		}
		report := &wire.InstanceReport{}
		if proto.Unmarshal(buffer[:n], report) != nil || report.Name == "" {
			continue
		}
		s.Receive(report)
	}
}

// Send sends an encoded report to the addresses and returns the number of
// addresses to which it could not be sent.
func (s *Socket) Send(message []byte, addresses []netip.AddrPort) int {
	failed := 0
	for _, a := range addresses {
		if _, err := s.conn.WriteToUDPAddrPort(message, a); err != nil {
			failed++
		}
	}
	return failed
}
