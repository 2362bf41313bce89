// Package datagram carries messages between instances over UDP. No message has to be
// sent again if it is lost: each report replaces the previous one, and a lost message
// about a loan only leads to a refusal. There is no connection that could be lost
// without notice.
package datagram

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"tamarackrun/internal/protocol/wire"
)

const (
	// maxSize is the largest payload of a UDP datagram over IPv4, in bytes.
	maxSize = 65507
	// burst is how many bytes are sent without a pause. A link drops datagrams once its queue is
	// full.
	burst = 16 << 10
	// maxQueued bounds the datagrams that wait to be sent.
	maxQueued = 1024
)

// outgoing is a datagram that waits to be sent.
type outgoing struct {
	encoded []byte
	to      netip.AddrPort
}

// Socket sends and receives messages.
type Socket struct {
	// Receive is called with each message and its sender's address. It is set
	// before Run.
	Receive func(message *wire.InstanceMessage, from netip.AddrPort)
	// OnSend is called with the number of bytes of each message, summed over its
	// receivers. It may be nil. It is set before the first Send.
	OnSend func(message *wire.InstanceMessage, bytes int)
	// Rate is the rate at which messages to many instances are sent, in bytes per second; 0 means
	// no limit. It is set before the first Send.
	Rate int64

	conn *net.UDPConn
	// queue holds the datagrams that wait because of the rate, and closed is closed with the socket.
	queue  chan outgoing
	closed chan struct{}
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
	s := &Socket{conn: conn, queue: make(chan outgoing, maxQueued), closed: make(chan struct{})}
	go s.sendQueued()
	return s, func() {
		close(s.closed)
		_ = conn.Close()
	}, nil
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
// it could not be sent. More bytes than a burst are sent at the rate, in random order: a narrow link
// would drop the last ones each time, so that the same instances would never hear this one.
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
	if s.Rate > 0 && len(encoded)*len(addresses) > burst {
		for _, i := range rand.Perm(len(addresses)) {
			select {
			case s.queue <- outgoing{encoded, addresses[i]}:
			default:
				failed++
			}
		}
		return failed
	}
	for _, a := range addresses {
		if _, err := s.conn.WriteToUDPAddrPort(encoded, a); err != nil {
			failed++
		}
	}
	return failed
}

// sendQueued sends the datagrams of the queue until the socket is closed.
func (s *Socket) sendQueued() {
	sent := int64(0)
	for {
		select {
		case o := <-s.queue:
			// The sender is not told: each message replaces the previous one of its kind.
			_, _ = s.conn.WriteToUDPAddrPort(o.encoded, o.to)
			sent += int64(len(o.encoded))
		case <-s.closed:
			return
		}
		if sent >= burst {
			time.Sleep(time.Duration(sent * int64(time.Second) / s.Rate))
			sent = 0
		}
	}
}
