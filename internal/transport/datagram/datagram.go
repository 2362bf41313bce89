// Package datagram carries messages between instances. Each report replaces the
// one before, and a lost loan is only a refusal, so that no message needs a
// repetition, and no connection can go silent.
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

// Socket sends and receives messages.
type Socket struct {
	// Receive takes a message and its sender's address; set before Run.
	Receive func(message *wire.InstanceMessage, from netip.AddrPort)

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
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// A peer without a listener leads to an error on the next read.
			continue
		}
		message := &wire.InstanceMessage{}
		if proto.Unmarshal(buffer[:n], message) != nil {
			continue
		}
		s.Receive(message, from)
	}
}

// Send sends a message to the addresses and returns the number of
// addresses to which it could not be sent.
func (s *Socket) Send(message *wire.InstanceMessage, addresses ...netip.AddrPort) int {
	encoded, err := proto.Marshal(message)
	if err != nil {
		// Names are valid UTF-8, as the platform's configuration is.
		return len(addresses)
	}
	failed := 0
	for _, a := range addresses {
		if _, err := s.conn.WriteToUDPAddrPort(encoded, a); err != nil {
			failed++
		}
	}
	return failed
}
