package instance

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"

	"tamarackrun"
	"tamarackrun/internal/coordination/lookup"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/roster"
	"tamarackrun/internal/transport/caller"
)

// lookups answers look-up requests, by which callers find entry instances.
type lookups struct {
	in *Instance
	// table is nil until the first configuration was accepted.
	table atomic.Pointer[lookup.Table]
	// wakeup holds a value when the roster or the configuration may have changed.
	wakeup chan struct{}
	// buffers holds *[]byte for encoded answers.
	buffers sync.Pool

	// Only refresh uses the fields below.
	configuration *configuration.Snapshot
	locator       *lookup.Locator
	overloaded    map[string]bool
}

func newLookups(in *Instance) *lookups {
	return &lookups{in: in, wakeup: make(chan struct{}, 1),
		buffers: sync.Pool{New: func() any { return new([]byte) }}}
}

// wake makes run check the table. It is called with each heartbeat, because an
// instance can become unreachable by the passing of time alone.
func (l *lookups) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// run keeps the table current. It runs in its own goroutine, because building a
// table for 470,000 client blocks takes longer than a heartbeat interval.
func (l *lookups) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wakeup:
			l.refresh()
		}
	}
}

// refresh replaces the table if the configuration or the usable instances
// changed.
func (l *lookups) refresh() {
	c := l.in.snapshot.Load()
	if c == nil {
		return
	}
	if c != l.configuration {
		locator, err := l.newLocator(c)
		if err != nil {
			l.in.history.Record(event.LookupRejected, "", "version", strconv.FormatInt(c.Version, 10), "error", err.Error())
			if l.locator == nil {
				return
			}
			locator = l.locator
		}
		l.configuration, l.locator = c, locator
	}
	overloaded := map[string]bool{}
	candidates := lookup.Candidates(l.in.roster.Members(), func(m roster.Member) bool {
		overloaded[m.Listing.Name] = lookup.Overloaded(m, l.overloaded[m.Listing.Name])
		return overloaded[m.Listing.Name]
	})
	l.overloaded = overloaded
	if current := l.table.Load(); current != nil && current.Matches(l.locator, candidates) {
		return
	}
	l.table.Store(lookup.NewTable(l.locator, candidates))
	l.in.history.Record(event.LookupSwapped, "", "version", strconv.FormatInt(c.Version, 10),
		"instances", strconv.Itoa(len(candidates)))
}

func (l *lookups) newLocator(c *configuration.Snapshot) (*lookup.Locator, error) {
	if l.locator == nil {
		return lookup.NewLocator(c)
	}
	return l.locator.WithConfiguration(c)
}

// serveLookup answers GET /v1/lookup. The query parameter client replaces the
// connection's address.
func (l *lookups) serveLookup(w http.ResponseWriter, r *http.Request) {
	table := l.table.Load()
	if table == nil {
		caller.WriteOutcome(w, "", tamarackrun.Refused(tamarackrun.NotReady))
		return
	}
	client, ok := clientAddress(r)
	if !ok {
		caller.WriteOutcome(w, "", tamarackrun.Refused(tamarackrun.Malformed))
		return
	}
	buffer := l.buffers.Get().(*[]byte)
	*buffer = table.AppendAnswer((*buffer)[:0], client)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(*buffer)
	l.buffers.Put(buffer)
}

// clientAddress returns the address for which a look-up is answered.
func clientAddress(r *http.Request) (netip.Addr, bool) {
	if r.URL.RawQuery != "" {
		if text := r.URL.Query().Get("client"); text != "" {
			client, err := netip.ParseAddr(text)
			// The zone of an IPv6 address has a meaning only on the caller's host.
			return client.WithZone(""), err == nil
		}
	}
	port, err := netip.ParseAddrPort(r.RemoteAddr)
	return port.Addr().WithZone(""), err == nil
}
