package peer_test

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tamarackrun"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/standin/fleet"
	"tamarackrun/internal/transport/peer"
)

// testTimeout bounds the waits of a test.
const testTimeout = 20 * time.Second

// heartbeatHandler answers heartbeats and nothing else.
type heartbeatHandler struct{}

func (heartbeatHandler) ServePeer(ctx context.Context, first *wire.Envelope, stream tamarackrun.Stream) {
	if first.GetHeartbeat() != nil {
		_ = stream.Send(&wire.Envelope{Kind: &wire.Envelope_HeartbeatReply{HeartbeatReply: &wire.HeartbeatReply{}}})
		return
	}
	<-ctx.Done()
}

func heartbeat(name string) *wire.Envelope {
	return &wire.Envelope{Kind: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{State: &wire.PeerState{Name: name}}}}
}

// testMesh is a Mesh with the number of connections that it refused.
type testMesh struct {
	*peer.Mesh
	refused atomic.Int32
}

// startMesh runs a mesh that trusts one authority and has a certificate of the
// issuer, which may be another one. Without an issuer it uses no TLS. The instance
// called listed is listed at all addresses; none is if it is empty.
func startMesh(t *testing.T, trusted, issuer *fleet.Authority, name, listed string) *testMesh {
	t.Helper()
	m, cleanup, err := peer.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	mesh := &testMesh{Mesh: m}
	m.Handler, m.OnRefused = heartbeatHandler{}, func(string, error) { mesh.refused.Add(1) }
	m.NameAt = func(string) (string, bool) { return listed, listed != "" }
	if issuer != nil {
		m.Identity = newIdentity(t, trusted, issuer, name)
	}
	go func() { _ = m.Run() }()
	return mesh
}

func newIdentity(t *testing.T, trusted, issuer *fleet.Authority, name string) *peer.Identity {
	t.Helper()
	if err := issuer.Issue(name); err != nil {
		t.Fatal(err)
	}
	base := filepath.Join(filepath.Dir(issuer.File), name)
	i, err := peer.NewIdentity(name, trusted.File, base+".pem", base+".key")
	if err != nil {
		t.Fatal(err)
	}
	return i
}

func newAuthority(t *testing.T) *fleet.Authority {
	t.Helper()
	a, err := fleet.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func call(t *testing.T, from *testMesh, to *testMesh, claimed string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	_, err := from.Call(ctx, to.Address(), heartbeat(claimed))
	return err
}

// Guards against connections, in either direction, with a process that has no
// certificate of the fleet's authority or the certificate of another instance.
func TestIdentity(t *testing.T) {
	ours, other := newAuthority(t), newAuthority(t)
	tests := []struct {
		name                     string
		client, server           *fleet.Authority // issuers of the certificates
		clientName, claimed      string
		serverName, listed       string
		accepted, reportsRefusal bool
	}{
		{"both of the fleet", ours, ours, "a", "a", "b", "b", true, false},
		{"client of another authority", other, ours, "a", "a", "b", "b", false, true},
		{"server of another authority", ours, other, "a", "a", "b", "b", false, true},
		{"server with another name", ours, ours, "a", "a", "c", "b", false, true},
		{"server with a wildcard name", ours, ours, "a", "a", "*", "b", false, true},
		{"server that is not listed", ours, ours, "a", "a", "b", "", false, false},
		{"client that claims another name", ours, ours, "a", "c", "b", "b", false, true},
		{"plain client", nil, ours, "a", "a", "b", "b", false, true},
		{"plain server", ours, nil, "a", "a", "b", "b", false, false},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			client, server := startMesh(t, ours, c.client, c.clientName, c.listed), startMesh(t, ours, c.server, c.serverName, "")
			err := call(t, client, server, c.claimed)
			if (err == nil) != c.accepted {
				t.Errorf("error %v, want accepted %v", err, c.accepted)
			}
			for limit := time.Now().Add(testTimeout); c.reportsRefusal && server.refused.Load() == 0; time.Sleep(time.Millisecond) {
				if time.Now().After(limit) {
					t.Fatal("the server did not report the refusal")
				}
			}
		})
	}
}

// Guards against a server that accepts clients with a version before TLS 1.3 or
// without a certificate.
func TestRefusesWeakClients(t *testing.T) {
	a := newAuthority(t)
	server := startMesh(t, a, a, "b", "")
	if err := a.Issue("a"); err != nil {
		t.Fatal(err)
	}
	base := filepath.Join(filepath.Dir(a.File), "a")
	valid, err := tls.LoadX509KeyPair(base+".pem", base+".key")
	if err != nil {
		t.Fatal(err)
	}
	for _, config := range []*tls.Config{
		{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12, Certificates: []tls.Certificate{valid}},
		{InsecureSkipVerify: true},
	} {
		conn, err := tls.Dial("tcp", server.Address(), config)
		if err == nil {
			// With TLS 1.3 the client sees the refusal only when it reads.
			_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
			_, err = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
		var timeout net.Error
		if err == nil || errors.As(err, &timeout) && timeout.Timeout() {
			t.Errorf("version limit %x: error %v, want a refusal by the server", config.MaxVersion, err)
		}
	}
}

// Guards against an instance that starts with unusable certificate or key files.
func TestNewIdentityChecksFiles(t *testing.T) {
	a := newAuthority(t)
	if err := a.Issue("a"); err != nil {
		t.Fatal(err)
	}
	directory := filepath.Dir(a.File)
	certificate, key, empty := filepath.Join(directory, "a.pem"), filepath.Join(directory, "a.key"), filepath.Join(directory, "empty")
	if err := os.WriteFile(empty, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, authority, certificate, key string }{
		{"b", a.File, certificate, key},
		{"a", empty, certificate, key},
		{"a", a.File, empty, key},
		{"a", a.File, certificate, certificate},
		{"a", filepath.Join(directory, "missing"), certificate, key},
	} {
		if _, err := peer.NewIdentity(c.name, c.authority, c.certificate, c.key); err == nil {
			t.Errorf("%+v was accepted", c)
		}
	}
}

// Guards against new streams on a connection that was lost without a reset, and
// against open streams that wait on it forever.
func TestSilentConnection(t *testing.T) {
	for _, secured := range []bool{false, true} {
		t.Run(map[bool]string{false: "plain", true: "TLS"}[secured], func(t *testing.T) {
			t.Parallel()
			var a *fleet.Authority
			if secured {
				a = newAuthority(t)
			}
			client, server := startMesh(t, a, a, "a", "b"), startMesh(t, a, a, "b", "a")
			relay, cleanup, err := fleet.NewLink("127.0.0.1", server.Address())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(cleanup)
			testSilentConnection(t, client, relay)
		})
	}
}

// testSilentConnection stops all traffic through the relay while a stream is open and
// checks that new streams use a new connection.
func testSilentConnection(t *testing.T, client *testMesh, relay *fleet.Link) {
	probe := func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		_, err := client.Probe(ctx, relay.Address(), heartbeat("a"))
		return err
	}
	if err := probe(testTimeout); err != nil {
		t.Fatal(err)
	}
	running, err := client.Open(t.Context(), relay.Address())
	if err != nil {
		t.Fatal(err)
	}
	if err := running.Send(&wire.Envelope{Kind: &wire.Envelope_Borrow{Borrow: &wire.Borrow{}}}); err != nil {
		t.Fatal(err)
	}
	relay.Silence()
	var probes sync.WaitGroup
	for range 20 {
		probes.Go(func() { _ = probe(testTimeout) })
	}
	if probe(100*time.Millisecond) == nil {
		t.Fatal("a probe on the silent connection succeeded")
	}
	var streams []tamarackrun.Stream
	for range 3 {
		s, err := client.Open(t.Context(), relay.Address())
		if err != nil {
			t.Fatal(err)
		}
		streams = append(streams, s)
	}
	if _, err := running.Receive(); err == nil {
		t.Error("a stream on the silent connection got an answer")
	}
	probes.Wait()
	for _, s := range streams {
		if err := s.Send(heartbeat("a")); err != nil {
			t.Errorf("stream on the new connection: %v", err)
		}
		if _, err := s.Receive(); err != nil {
			t.Errorf("stream on the new connection: %v", err)
		}
	}
	if n := relay.Connections(); n != 2 {
		t.Errorf("%d connections, want the silent one and one more", n)
	}
}
