package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"tamarackrun"
	"tamarackrun/internal/protocol/manifest"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/transport/peer"
	"tamarackrun/internal/transport/platform"
)

const exchangeLimit = 10 * time.Second

// counter passes TCP connections on and counts what it passes.
type counter struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64
	// segments counts reads, each of which is about one packet.
	segments atomic.Int64
}

func newCounter(target string) (*counter, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &counter{listener: listener, target: target}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				_ = near.Close()
				continue
			}
			go c.pass(near, far)
			go c.pass(far, near)
		}
	}()
	return c, nil
}

func (c *counter) pass(from, to net.Conn) {
	defer func() { _ = from.Close(); _ = to.Close() }()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		c.bytes.Add(int64(n))
		c.segments.Add(1)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// responder answers heartbeats with a state and fetches with a chunk.
type responder struct {
	state *wire.PeerState
	chunk []byte
}

func (r *responder) ServePeer(_ context.Context, first *wire.Envelope, stream tamarackrun.Stream) {
	if first.GetHeartbeat() != nil {
		_ = stream.Send(&wire.Envelope{Kind: &wire.Envelope_HeartbeatReply{HeartbeatReply: &wire.HeartbeatReply{State: r.state}}})
		return
	}
	_ = stream.Send(&wire.Envelope{Kind: &wire.Envelope_Chunk{Chunk: &wire.Chunk{Value: r.chunk, Version: 1, Found: true}}})
}

// link is a secured peer link on loopback, with both ends in this process.
type link struct {
	client  *peer.Mesh
	server  *responder
	direct  string
	counter *counter
	close   func()
}

// Identities makes the identities of instances that trust one authority, with
// files in the directory.
type Identities func(directory string, names ...string) ([]*peer.Identity, error)

func newLink(identities Identities) (*link, error) {
	directory, err := os.MkdirTemp("", "tamarackrun-measure-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	owners, err := identities(directory, "entry-000", "entry-001")
	if err != nil {
		return nil, err
	}
	client, closeClient, err := peer.New("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server, closeServer, err := peer.New("127.0.0.1:0")
	if err != nil {
		closeClient()
		return nil, err
	}
	l := &link{client: client, server: &responder{}, direct: server.Address()}
	client.Identity, client.Handler = owners[0], l.server
	client.NameAt = func(string) (string, bool) { return "entry-001", true }
	server.Identity, server.Handler = owners[1], l.server
	go func() { _ = server.Run() }()
	l.counter, err = newCounter(server.Address())
	l.close = func() { closeClient(); closeServer(); _ = l.counter.listener.Close() }
	return l, err
}

// exchange sends one message and waits for the reply.
func (l *link) exchange(address string, message *wire.Envelope) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeLimit)
	defer cancel()
	if _, err := l.client.Call(ctx, address, message); err != nil {
		panic(fmt.Sprintf("exchange on loopback failed: %v", err))
	}
}

func (l *link) heartbeat(servers int) *wire.Envelope {
	l.server.state = sampleState("entry-001", servers)
	return &wire.Envelope{Kind: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{State: sampleState("entry-000", servers)}}}
}

// exchangeSample is the number of exchanges over which bytes are counted.
const exchangeSample = 200

// countHeartbeat returns bytes and segments of one heartbeat and its reply.
func (l *link) countHeartbeat(servers int) (bytes, segments float64) {
	message := l.heartbeat(servers)
	l.exchange(l.counter.listener.Addr().String(), message)
	b, s := l.counter.bytes.Load(), l.counter.segments.Load()
	for range exchangeSample {
		l.exchange(l.counter.listener.Addr().String(), message)
	}
	return float64(l.counter.bytes.Load()-b) / exchangeSample, float64(l.counter.segments.Load()-s) / exchangeSample
}

// storeReads measures one read of the manifest through the platform's client:
// bytes, segments and processor time, which includes a minimal server's.
func storeReads(chunks int) (bytes, segments, cpu float64, err error) {
	value, err := json.Marshal(manifest.Manifest{Chunks: make([]string, chunks), Author: "base", Nonce: "ABCDEFGHIJKLMNOPQRSTUVWXYZ"})
	if err != nil {
		return 0, 0, 0, err
	}
	value = append(value, make([]byte, 64*chunks)...)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, 0, err
	}
	server := &http.Server{ReadHeaderTimeout: exchangeLimit, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Object-Version", "123456")
		_, _ = w.Write(value)
	})}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	c, err := newCounter(listener.Addr().String())
	if err != nil {
		return 0, 0, 0, err
	}
	defer func() { _ = c.listener.Close() }()
	read := func(address string) (task func(), cleanup func()) {
		client, cleanup, _ := platform.New("http://" + address)
		return func() {
			if _, getErr := client.Get(context.Background(), manifest.ObjectName); getErr != nil {
				err = getErr
			}
		}, cleanup
	}
	counted, closeCounted := read(c.listener.Addr().String())
	defer closeCounted()
	counted()
	b, s := c.bytes.Load(), c.segments.Load()
	for range exchangeSample {
		counted()
	}
	bytes, segments = float64(c.bytes.Load()-b)/exchangeSample, float64(c.segments.Load()-s)/exchangeSample
	direct, closeDirect := read(listener.Addr().String())
	defer closeDirect()
	return bytes, segments, cpuOf(direct), err
}
