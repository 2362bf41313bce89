package instance

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/waiting"
	"tamarackrun/internal/protocol/document"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/protocol/secret"
	"tamarackrun/internal/state/configuration"
)

// keyCheckInterval is how often the key of a running request is checked again.
const keyCheckInterval = time.Second

const bearerScheme = "bearer "

// presentedKeys returns the distinct keys that the caller sent.
func presentedKeys(header http.Header) []string {
	var keys []string
	add := func(key string) {
		if key = strings.TrimSpace(key); key != "" && !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	for _, v := range header.Values("Tamarackrun-Key") {
		add(v)
	}
	for _, v := range header.Values("Authorization") {
		if len(v) > len(bearerScheme) && strings.EqualFold(v[:len(bearerScheme)], bearerScheme) {
			add(v[len(bearerScheme):])
		}
	}
	return keys
}

// presentedKey returns the key that the caller sent, or "" if there is not
// exactly one.
func presentedKey(header http.Header) string {
	if keys := presentedKeys(header); len(keys) == 1 {
		return keys[0]
	}
	return ""
}

// authenticate determines the organisation of a request from its key, and
// refuses the request if the key is not valid for the route.
func (in *Instance) authenticate(c *configuration.Snapshot, route configuration.Route, r *http.Request) (string, tamarackrun.Outcome) {
	keys := presentedKeys(r.Header)
	if len(keys) > 1 {
		return "", tamarackrun.Refused(tamarackrun.Malformed)
	}
	presented := presentedKey(r.Header)
	if reason := misplacedKey(c, route, r, presented); reason != "" {
		return "", tamarackrun.Refused(reason)
	}
	if presented == "" {
		if route.Open {
			return "", tamarackrun.Done
		}
		return "", tamarackrun.Refused(tamarackrun.KeyMissing)
	}
	key, ok := c.Keys[document.HashKey(presented)]
	switch {
	case !ok:
		return "", tamarackrun.Refused(tamarackrun.KeyUnknown)
	case key.Withdrawn:
		return "", tamarackrun.Refused(tamarackrun.KeyWithdrawn)
	case len(route.Organisations) > 0 && !slices.Contains(route.Organisations, key.Organisation):
		return "", tamarackrun.Refused(tamarackrun.RouteForbidden)
	}
	// The snapshot may be older than the latest proof of freshness.
	if reason := in.recheckKey(tamarackrun.Request{Organisation: key.Organisation, Route: route.Name,
		KeyHash: document.HashKey(presented), KeyVersion: c.Version}); reason != "" {
		return "", tamarackrun.Refused(reason)
	}
	return key.Organisation, tamarackrun.Done
}

// recheckKey returns the reason why a request that was accepted earlier may not
// be dispatched now, or "". It is called immediately before each dispatch,
// because the request may have waited, or the process may have been paused.
func (in *Instance) recheckKey(request tamarackrun.Request) tamarackrun.Reason {
	if request.Organisation == "" {
		return ""
	}
	// The snapshot must be loaded after the check of the proof: a proof that
	// arrives in between may belong to a newer version that withdraws the key.
	refuses := in.freshness.refusesKeyed()
	c := in.snapshot.Load()
	key, ok := c.Keys[request.KeyHash]
	// The sender may have accepted the key by a version that this home has not yet
	// received.
	newer := !ok && request.KeyVersion > c.Version
	if !newer && (!ok || key.Withdrawn || key.Organisation != request.Organisation) {
		return tamarackrun.KeyWithdrawn
	}
	route, ok := c.RouteByName(request.Route)
	switch {
	case refuses && (!ok || route.CutOffRule == configuration.RefuseWhenCutOff):
		return tamarackrun.CutOff
	case len(route.Organisations) > 0 && !slices.Contains(route.Organisations, request.Organisation):
		return tamarackrun.RouteForbidden
	}
	return ""
}

// misplacedKey returns the reason to refuse a request that would disclose a key
// to a backend server, or "". Cookies are checked even if the route does not
// pass them on, because a key in a cookie is a mistake of the caller that
// others may see.
func misplacedKey(c *configuration.Snapshot, route configuration.Route, r *http.Request, presented string) tamarackrun.Reason {
	finder := secret.Finder{Presented: presented, Known: func(word string) bool {
		_, ok := c.Keys[document.HashKey(word)]
		return ok
	}}
	if finder.In(r.URL.RequestURI()) {
		return tamarackrun.KeyInURL
	}
	// A + is a space in a query.
	if r.URL.RawQuery != "" && finder.In(strings.ReplaceAll(r.URL.RawQuery, "+", " ")) {
		return tamarackrun.KeyInURL
	}
	for _, values := range []http.Header{forwardedHeader(r.Header, route), {"Cookie": r.Header.Values("Cookie")}} {
		for _, list := range values {
			if slices.ContainsFunc(list, finder.In) {
				return tamarackrun.KeyInURL
			}
		}
	}
	return ""
}

// keyInBody reports whether a body contains the key that came with the request.
// It does not look for other keys: hashing every word of 1 MiB takes longer
// than most requests.
func keyInBody(r *http.Request, body []byte) bool {
	presented := presentedKey(r.Header)
	return presented != "" && bytes.Contains(body, []byte(presented))
}

// defaultHeaders are the request headers that backend servers get. All others
// must be listed by the route, so that no other header that may contain a key
// is passed on.
var defaultHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Content-Language", "If-Match",
	"If-None-Match", "If-Modified-Since", "If-Unmodified-Since", "Range", "User-Agent"}

// forwardedHeader returns the headers that are passed on to a backend server.
func forwardedHeader(header http.Header, route configuration.Route) http.Header {
	forwarded := http.Header{}
	for _, names := range [][]string{defaultHeaders, route.Headers} {
		for _, name := range names {
			name = http.CanonicalHeaderKey(name)
			if document.ReservedHeader(name) {
				continue
			}
			if values := header.Values(name); len(values) > 0 {
				forwarded[name] = append([]string{}, values...)
			}
		}
	}
	return forwarded
}

// keyGuard cancels a running request when its key is withdrawn.
type keyGuard struct {
	tamarackrun.AnswerWriter
	in      *Instance
	request *http.Request
	// ctx is the context of the request; it is cancelled when the key is
	// withdrawn.
	ctx       context.Context
	cancel    context.CancelFunc
	began     atomic.Bool
	withdrawn atomic.Bool
}

// guardKey starts to watch the key of a request. Requests without a valid key
// are refused elsewhere and need no watch.
func (in *Instance) guardKey(r *http.Request, answer tamarackrun.AnswerWriter) *keyGuard {
	g := &keyGuard{AnswerWriter: answer, in: in, request: r}
	g.ctx, g.cancel = context.WithCancel(r.Context())
	if key := presentedKey(r.Header); key != "" {
		hash := document.HashKey(key)
		if c := in.snapshot.Load(); c != nil {
			go g.watch(hash, c.Keys[hash].Organisation)
		}
	}
	return g
}

// watch checks the key until the request ends. A non-idempotent request whose
// answer has not begun is not cancelled: it may be running, and its outcome
// would become unknown.
func (g *keyGuard) watch(hash [32]byte, organisation string) {
	for {
		waiting.Pause(g.ctx, keyCheckInterval)
		if g.ctx.Err() != nil {
			return
		}
		c := g.in.snapshot.Load()
		key, ok := c.Keys[hash]
		if ok && !key.Withdrawn && key.Organisation == organisation {
			continue
		}
		g.withdrawn.Store(true)
		route, _, _ := c.RouteForMethod(g.request.Method, g.request.URL.Path)
		if g.began.Load() || route.Idempotent {
			g.cancel()
			return
		}
	}
}

// Head passes on the head of the answer.
func (g *keyGuard) Head(status int, header http.Header) error {
	g.began.Store(true)
	return g.AnswerWriter.Head(status, header)
}

// Body passes on a piece of the answer unless the key was withdrawn.
func (g *keyGuard) Body(piece []byte) error {
	if g.ctx.Err() != nil {
		return g.ctx.Err()
	}
	return g.AnswerWriter.Body(piece)
}

// finish ends the watch and returns the outcome of the request. If the key was
// withdrawn before the request ran, it records that and returns KeyWithdrawn
// for a request that did not run.
func (g *keyGuard) finish(id string, outcome tamarackrun.Outcome) tamarackrun.Outcome {
	g.cancel()
	if !g.withdrawn.Load() || outcome.Kind == tamarackrun.Ran {
		return outcome
	}
	g.in.history.Record(event.KeyEndedStream, id, "outcome", outcome.String())
	if outcome.Kind == tamarackrun.NotRun {
		return tamarackrun.Refused(tamarackrun.KeyWithdrawn)
	}
	return outcome
}
