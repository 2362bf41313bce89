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

const generous = 20 * time.Second

// echo answers each heartbeat and never answers anything else.
type echo struct{}

func (echo) ServePeer(ctx context.Context, first *wire.Envelope, stream tamarackrun.Stream) {
	if first.GetHeartbeat() != nil {
		_ = stream.Send(&wire.Envelope{Kind: &wire.Envelope_HeartbeatReply{HeartbeatReply: &wire.HeartbeatReply{}}})
		return
	}
	<-ctx.Done()
}

func heartbeat(name string) *wire.Envelope {
	return &wire.Envelope{Kind: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{State: &wire.PeerState{Name: name}}}}
}

// end is a mesh with what it refused.
type end struct {
	*peer.Mesh
	refused atomic.Int32
}

// start runs a mesh that trusts one authority and has a certificate of another
// or the same one; without an authority it uses no TLS. All listed addresses
// belong to the instance called listed.
func start(t *testing.T, trusted, issuer *fleet.Authority, name, listed string) *end {
	t.Helper()
	m, cleanup, err := peer.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	e := &end{Mesh: m}
	m.Handler, m.OnRefused = echo{}, func(string, error) { e.refused.Add(1) }
	m.NameAt = func(string) (string, bool) { return listed, listed != "" }
	if issuer != nil {
		m.Identity = identity(t, trusted, issuer, name)
	}
	go func() { _ = m.Run() }()
	return e
}

func identity(t *testing.T, trusted, issuer *fleet.Authority, name string) *peer.Identity {
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

func authority(t *testing.T) *fleet.Authority {
	t.Helper()
	a, err := fleet.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func call(t *testing.T, from *end, to *end, claimed string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), generous)
	defer cancel()
	_, err := from.Call(ctx, to.Address(), heartbeat(claimed))
	return err
}

// Guards against links with a process that has no certificate of the fleet, or
// whose certificate is for another instance, in either direction.
func TestIdentity(t *testing.T) {
	ours, other := authority(t), authority(t)
	tests := []struct {
		name                  string
		client, server        *fleet.Authority // issuers
		clientName, claimed   string
		serverName, listed    string
		accepted, seenRefused bool
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
			client, server := start(t, ours, c.client, c.clientName, c.listed), start(t, ours, c.server, c.serverName, "")
			err := call(t, client, server, c.claimed)
			if (err == nil) != c.accepted {
				t.Errorf("error %v, accepted should be %v", err, c.accepted)
			}
			for limit := time.Now().Add(generous); c.seenRefused && server.refused.Load() == 0; time.Sleep(time.Millisecond) {
				if time.Now().After(limit) {
					t.Fatal("the server did not report a refusal")
				}
			}
		})
	}
}

// Guards against a server that accepts a protocol before TLS 1.3 or a client
// without any certificate.
func TestRefusesWeakClients(t *testing.T) {
	a := authority(t)
	server := start(t, a, a, "b", "")
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
			// With TLS 1.3 the client learns of the refusal when it reads.
			_ = conn.SetReadDeadline(time.Now().Add(generous))
			_, err = conn.Read(make([]byte, 1))
			_ = conn.Close()
		}
		var timeout net.Error
		if err == nil || errors.As(err, &timeout) && timeout.Timeout() {
			t.Errorf("version limit %x: error %v, want a refusal by the server", config.MaxVersion, err)
		}
	}
}

// Guards against an instance that starts with files that cannot work.
func TestNewIdentityChecksFiles(t *testing.T) {
	a := authority(t)
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

// Guards against exchanges that go on using a connection which was lost
// without a reset, and against running ones that wait on it for ever.
func TestSilentConnection(t *testing.T) {
	for _, secured := range []bool{false, true} {
		t.Run(map[bool]string{false: "plain", true: "TLS"}[secured], func(t *testing.T) {
			t.Parallel()
			var a *fleet.Authority
			if secured {
				a = authority(t)
			}
			client, server := start(t, a, a, "a", "b"), start(t, a, a, "b", "a")
			relay, cleanup, err := fleet.NewLink("127.0.0.1", server.Address())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(cleanup)
			testSilence(t, client, relay)
		})
	}
}

func testSilence(t *testing.T, client *end, relay *fleet.Link) {
	probe := func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		_, err := client.Probe(ctx, relay.Address(), heartbeat("a"))
		return err
	}
	if err := probe(generous); err != nil {
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
	var late sync.WaitGroup
	for range 20 {
		late.Go(func() { _ = probe(generous) })
	}
	if probe(100*time.Millisecond) == nil {
		t.Fatal("a probe on the silent connection succeeded")
	}
	var links []tamarackrun.Stream
	for range 3 {
		s, err := client.Open(t.Context(), relay.Address())
		if err != nil {
			t.Fatal(err)
		}
		links = append(links, s)
	}
	if _, err := running.Receive(); err == nil {
		t.Error("an exchange on the silent connection got an answer")
	}
	late.Wait()
	for _, s := range links {
		if err := s.Send(heartbeat("a")); err != nil {
			t.Errorf("exchange on the new connection: %v", err)
		}
		if _, err := s.Receive(); err != nil {
			t.Errorf("exchange on the new connection: %v", err)
		}
	}
	if n := relay.Connections(); n != 2 {
		t.Errorf("%d connections, want the silent one and one more", n)
	}
}
