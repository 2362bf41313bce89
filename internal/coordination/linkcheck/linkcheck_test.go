package linkcheck

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun"
	"tamarackrun/internal/state/registry"
)

const (
	dialTimeout = 500 * time.Millisecond
	// detectionBound is the users' bound on noticing a lost link.
	detectionBound = 4 * time.Second
)

// network is a fake of the links to twelve servers in three failure domains.
type network struct {
	// reachable is the number of servers that are reached.
	reachable atomic.Int32
	dials     atomic.Int32
}

func (n *network) servers() []*registry.Server {
	var list []*registry.Server
	for i := range 12 {
		list = append(list, &registry.Server{Name: fmt.Sprint("s", i), ServerRecord: tamarackrun.ServerRecord{
			Address: fmt.Sprint(i), FailureDomain: fmt.Sprint("domain-", i%3)}})
	}
	return list
}

func (n *network) dial(_ context.Context, address string) error {
	n.dials.Add(1)
	var i int32
	if _, err := fmt.Sscan(address, &i); err == nil && i < n.reachable.Load() {
		return nil
	}
	time.Sleep(dialTimeout)
	return errors.New("timeout")
}

// run calls f with a running checker.
func run(t *testing.T, n *network, f func(c *Checker, changes *[]bool)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c, changes := New(), []bool{}
		c.Servers, c.Dial = n.servers, n.dial
		c.OnChange = func(unreachable bool, _ time.Time) { changes = append(changes, unreachable) }
		ctx, cancel := context.WithCancel(t.Context())
		go c.Run(ctx)
		f(c, &changes)
		cancel()
		// The connections that are being opened end.
		time.Sleep(dialTimeout)
		synctest.Wait()
	})
}

// Guards against an instance that goes on trying servers one by one after it has lost its links to all
// of them, and against one that does not notice their return.
func TestLostLinksAreNoticed(t *testing.T) {
	n := &network{}
	run(t, n, func(c *Checker, changes *[]bool) {
		began := time.Now()
		for range suspectAfter {
			c.ReportFailure(began)
		}
		for !c.ServersUnreachable() && time.Since(began) < detectionBound {
			time.Sleep(10 * time.Millisecond)
		}
		if took := time.Since(began); took > detectionBound/2 {
			t.Errorf("noticed after %v, which leaves no time for the failures before", took)
		}
		if !c.Inconclusive(began) {
			t.Error("the first failure counts against its server")
		}
		time.Sleep(10 * time.Second)
		n.reachable.Store(12)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if diff := cmp.Diff([]bool{true, false}, *changes); diff != "" || c.ServersUnreachable() {
			t.Errorf("changes (-want +got):\n%s", diff)
		}
		if !c.Inconclusive(began) || c.Inconclusive(time.Now()) {
			t.Error("failures count against servers during the cut, or not after it")
		}
	})
}

// Guards against an instance that takes failing servers for lost links: it would send all requests
// through another instance.
func TestFailingServersAreNoLostLinks(t *testing.T) {
	n := &network{}
	// A sample of six always has one of seven reachable servers among twelve.
	n.reachable.Store(7)
	run(t, n, func(c *Checker, changes *[]bool) {
		for range 100 {
			c.ReportFailure(time.Now())
			time.Sleep(50 * time.Millisecond)
		}
		synctest.Wait()
		if len(*changes) > 0 {
			t.Errorf("changes %v while most servers are reached", *changes)
		}
		if got, most := int(n.dials.Load()), 11*sampleSize; got > most {
			t.Errorf("%d connections in 5 s of failures, want at most %d", got, most)
		}
	})
}
