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
	"tamarackrun/internal/transport/objectstore"
	"tamarackrun/internal/transport/peer"
)

const exchangeTimeout = 10 * time.Second

// countingProxy is a TCP proxy that counts the bytes of its connections in both
// directions.
type countingProxy struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64
	// segments is the number of reads, each of which is about one TCP segment.
	segments atomic.Int64
}

func newCountingProxy(target string) (*countingProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &countingProxy{listener: listener, target: target}
	go func() {
		for {
			downstream, err := listener.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", target)
			if err != nil {
				_ = downstream.Close()
				continue
			}
			go c.copyBytes(downstream, upstream)
			go c.copyBytes(upstream, downstream)
		}
	}()
	return c, nil
}

func (c *countingProxy) copyBytes(from, to net.Conn) {
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

// responder answers heartbeats with a state and fetches with a chunk. It implements
// the handler of a peer.Mesh.
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

// peerLink is a peer connection with TLS on loopback, with both ends in this
// process.
type peerLink struct {
	client *peer.Mesh
	server *responder
	// directAddress is the server's address without the proxy.
	directAddress string
	proxy         *countingProxy
	close         func()
}

// Identities creates identities of instances that trust one certificate authority.
// Their files are in the directory.
type Identities func(directory string, names ...string) ([]*peer.Identity, error)

// newPeerLink connects two meshes in this process, whose identities are written to a
// temporary directory.
func newPeerLink(identities Identities) (*peerLink, error) {
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
	l := &peerLink{client: client, server: &responder{}, directAddress: server.Address()}
	client.Identity, client.Handler = owners[0], l.server
	client.NameAt = func(string) (string, bool) { return "entry-001", true }
	server.Identity, server.Handler = owners[1], l.server
	go func() { _ = server.Run() }()
	l.proxy, err = newCountingProxy(server.Address())
	l.close = func() { closeClient(); closeServer(); _ = l.proxy.listener.Close() }
	return l, err
}

// exchange sends one message and waits for the reply.
func (l *peerLink) exchange(address string, message *wire.Envelope) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	if _, err := l.client.Call(ctx, address, message); err != nil {
		panic(fmt.Sprintf("exchange on loopback failed: %v", err))
	}
}

// heartbeat returns a heartbeat that reports a number of backend servers, and sets
// a reply of the same size.
func (l *peerLink) heartbeat(servers int) *wire.Envelope {
	l.server.state = sampleState("entry-001", servers)
	return &wire.Envelope{Kind: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{State: sampleState("entry-000", servers)}}}
}

// countedExchanges is the number of exchanges over which bytes and segments are
// averaged.
const countedExchanges = 200

// countHeartbeat returns the bytes and segments of one heartbeat and its reply.
func (l *peerLink) countHeartbeat(servers int) (bytes, segments float64) {
	message := l.heartbeat(servers)
	l.exchange(l.proxy.listener.Addr().String(), message)
	b, s := l.proxy.bytes.Load(), l.proxy.segments.Load()
	for range countedExchanges {
		l.exchange(l.proxy.listener.Addr().String(), message)
	}
	return float64(l.proxy.bytes.Load()-b) / countedExchanges, float64(l.proxy.segments.Load()-s) / countedExchanges
}

// measureManifestRead measures one read of the manifest through the platform's
// client: bytes, segments and processor time in seconds. The processor time includes
// that of a minimal server.
func measureManifestRead(chunks int) (bytes, segments, cpu float64, err error) {
	value, err := json.Marshal(manifest.Manifest{Chunks: make([]string, chunks), Author: "base", Nonce: "ABCDEFGHIJKLMNOPQRSTUVWXYZ"})
	if err != nil {
		return 0, 0, 0, err
	}
	value = append(value, make([]byte, 64*chunks)...)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, 0, err
	}
	server := &http.Server{ReadHeaderTimeout: exchangeTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Object-Version", "123456")
		_, _ = w.Write(value)
	})}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	proxy, err := newCountingProxy(listener.Addr().String())
	if err != nil {
		return 0, 0, 0, err
	}
	defer func() { _ = proxy.listener.Close() }()
	newRead := func(address string) (task func(), cleanup func()) {
		client, cleanup, _ := objectstore.New("http://" + address)
		return func() {
			if _, getErr := client.Get(context.Background(), manifest.ObjectName); getErr != nil {
				err = getErr
			}
		}, cleanup
	}
	readThroughProxy, closeProxied := newRead(proxy.listener.Addr().String())
	defer closeProxied()
	readThroughProxy()
	b, s := proxy.bytes.Load(), proxy.segments.Load()
	for range countedExchanges {
		readThroughProxy()
	}
	bytes, segments = float64(proxy.bytes.Load()-b)/countedExchanges, float64(proxy.segments.Load()-s)/countedExchanges
	readDirectly, closeDirect := newRead(listener.Addr().String())
	defer closeDirect()
	return bytes, segments, cpuSecondsOf(readDirectly), err
}
