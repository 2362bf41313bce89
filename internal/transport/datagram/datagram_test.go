package datagram

import (
	"net/netip"
	"sync"
	"testing"
	"time"

	"tamarackrun/internal/protocol/wire"
)

// received counts the messages that a socket receives.
type received struct {
	mu    sync.Mutex
	count int
	last  time.Time
}

func (r *received) add() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	r.last = time.Now()
}

func (r *received) state() (int, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count, r.last
}

// listen returns the address of a socket and what it receives.
func listen(t *testing.T) (netip.AddrPort, *received) {
	t.Helper()
	s, cleanup, err := New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	r := &received{}
	s.Receive = func(*wire.InstanceMessage, netip.AddrPort) { r.add() }
	go s.Run()
	return netip.MustParseAddrPort(s.conn.LocalAddr().String()), r
}

// Guards against digests to many instances that fill a narrow link at once: it dropped the last half of
// them, always to the same instances, which took their relay and reader for dead (stw-tamarack-large).
func TestMessagesToManyKeepTheRate(t *testing.T) {
	const receivers, size, rate = 15, 6 << 10, 400 << 10
	s, cleanup, err := New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	s.Rate = rate
	var addresses []netip.AddrPort
	var all []*received
	for range receivers {
		address, r := listen(t)
		addresses, all = append(addresses, address), append(all, r)
	}
	single, token := listen(t)
	content := &wire.InstanceMessage{Content: &wire.InstanceMessage_FleetDigest{FleetDigest: &wire.FleetDigest{Relay: string(make([]byte, size))}}}
	began := time.Now()
	s.Send(content, addresses...)
	s.Send(&wire.InstanceMessage{Content: &wire.InstanceMessage_TokenReturn{TokenReturn: &wire.TokenReturn{}}}, single)
	const patience = 5 * time.Second
	for end := began.Add(patience); ; time.Sleep(time.Millisecond) {
		missing := 0
		for _, r := range all {
			if count, _ := r.state(); count == 0 {
				missing++
			}
		}
		if missing == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d of %d instances have received nothing", missing, receivers)
		}
	}
	// All but one burst is sent at the rate.
	shortest := time.Duration(receivers*size-2*burst) * time.Second / rate
	if took := time.Since(began); took < shortest {
		t.Errorf("%d bytes were sent in %s, want at least %s", receivers*size, took, shortest)
	}
	if count, at := token.state(); count != 1 || at.Sub(began) >= shortest {
		t.Errorf("%d messages to a single instance arrived, after %s: they waited behind the others", count, at.Sub(began))
	}
}
