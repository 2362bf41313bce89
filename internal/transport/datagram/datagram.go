// Package datagram carries messages between instances over UDP. No message has to be
// sent again if it is lost: each report replaces the previous one, and a lost message
// about a loan only leads to a refusal. There is no connection that could be lost
// without notice.
package datagram

import (
	"errors"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"tamarackrun/internal/protocol/wire"
)

// maxSize is the largest payload of a UDP datagram over IPv4, in bytes.
const maxSize = 65507

// Socket sends and receives messages.
type Socket struct {
	// Receive is called with each message and its sender's address. It is set
	// before Run.
	Receive func(message *wire.InstanceMessage, from netip.AddrPort)
	// OnSend is called with the number of bytes of each message, summed over its
	// receivers. It may be nil. It is set before the first Send.
	OnSend func(message *wire.InstanceMessage, bytes int)

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
			// After a message to an address without a listener, the next read
			// returns an error.
			continue
		}
		message := &wire.InstanceMessage{}
		if proto.Unmarshal(buffer[:n], message) != nil {
			continue
		}
		s.Receive(message, from)
	}
}

// Send sends a message to the addresses and returns the number of addresses to which
// it could not be sent.
func (s *Socket) Send(message *wire.InstanceMessage, addresses ...netip.AddrPort) int {
	encoded, err := proto.Marshal(message)
	if err != nil {
		// This does not happen: names are valid UTF-8, since the platform's
		// configuration is.
		return len(addresses)
	}
	if s.OnSend != nil {
		s.OnSend(message, len(encoded)*len(addresses))
	}
	failed := 0
	for _, a := range addresses {
		if _, err := s.conn.WriteToUDPAddrPort(encoded, a); err != nil {
			failed++
		}
	}
	return failed
}
