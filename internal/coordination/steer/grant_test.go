package steer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"tamarackrun"
	"tamarackrun/internal/coordination/coldstart"
	"tamarackrun/internal/coordination/health"
	"tamarackrun/internal/state/registry"
)

// ranked returns servers in the order of the query's object.
func ranked(n int, q Query) []*registry.Server {
	list := servers(n)
	var order []*registry.Server
	for range n {
		c, _ := newBalancer().Choose(time.Now(), list, q)
		order, q.Tried = append(order, c.Server), append(q.Tried, c.Server.Name)
	}
	return order
}

// Guards against a token of a server that the request does not need, and against tokens that are taken and neither given
// nor returned.
func TestGrantIsForFirstServerThatNeedsToken(t *testing.T) {
	now, q := time.Now(), Query{Object: "x", Region: "a"}
	// Each server has a letter: w warm, c cold with a token left, C cold without one, l and L the same with a named rate, and
	// B cold with a token left and with a named rate without one.
	tests := map[string]struct {
		servers string
		spare   bool
		want    Grant
	}{
		"first is cold":                         {"cw", false, Grant{Server: "0", Cold: true}},
		"first has a rate":                      {"lw", false, Grant{Server: "0", Limited: true}},
		"first is warm":                         {"wc", false, Grant{}},
		"first is warm, spare":                  {"wc", true, Grant{Server: "1", Cold: true}},
		"no token of the first":                 {"Cl", false, Grant{Server: "1", Limited: true}},
		"no token of the first, second is warm": {"LwC", false, Grant{}},
		"a token of one limit only":             {"Bc", false, Grant{Server: "1", Cold: true}},
		"no token":                              {"CLB", true, Grant{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b, list, coldTokens := newBalancer(), ranked(len(test.servers), q), 0
			letter := func(server *registry.Server) byte { return test.servers[slices.Index(list, server)] }
			b.AdmitCold = func(_ time.Time, server *registry.Server) bool {
				if letter(server) == 'C' {
					return false
				}
				coldTokens++
				return true
			}
			b.ReturnCold = func(admitted time.Time, _ *registry.Server) {
				if admitted.Equal(now) {
					coldTokens--
				}
			}
			b.AdmitLimited = func(_ time.Time, server *registry.Server, _ float64) (bool, time.Duration) {
				return letter(server) == 'l', 0
			}
			b.CountWarm = func(time.Time, *registry.Server) { t.Error("a warm request is counted") }
			for i, server := range list {
				if slices.Contains([]byte("cCB"), test.servers[i]) {
					server.ColdUntil = now.Add(time.Second)
				}
				b.stateOf(server)
				if slices.Contains([]byte("lLB"), test.servers[i]) {
					limit := 1.0
					b.ReportLimit(now, server, &limit, now)
				}
			}
			got, wantTokens := Grant{}, 0
			if g := b.TakeGrant(now, list, q, test.spare); g != nil {
				got = Grant{Server: fmt.Sprint(slices.IndexFunc(list, g.about)), Cold: g.Cold, Limited: g.Limited}
			}
			if test.want.Cold {
				wantTokens = 1
			}
			if diff := cmp.Diff([]any{test.want, wantTokens}, []any{got, coldTokens}); diff != "" {
				t.Errorf("grant and tokens of cold servers (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a granted request that uses up the delegate's own share, and against one that is sent to another process of
// the server, or to a server that must not get it.
func TestGrantedServerIsChosen(t *testing.T) {
	now, limit := time.Now(), 1.0
	tests := map[string]struct {
		grant Grant
		// prepare changes the state of the granted server, or the query.
		prepare func(b *Balancer, server *registry.Server, q *Query)
		granted bool
	}{
		"cold": {Grant{Cold: true}, func(*Balancer, *registry.Server, *Query) {}, true},
		"cold, by its failed connection": {Grant{Cold: true}, func(b *Balancer, server *registry.Server, _ *Query) {
			server.ColdUntil = time.Time{}
			b.MarkCold(server, now.Add(time.Second))
		}, true},
		"has become warm here": {Grant{Cold: true}, func(_ *Balancer, server *registry.Server, _ *Query) { server.ColdUntil = now }, true},
		"also has a rate": {Grant{Cold: true, Limited: true}, func(b *Balancer, server *registry.Server, _ *Query) {
			b.ReportLimit(now, server, &limit, now)
		}, true},
		"a rate without a token": {Grant{Cold: true}, func(b *Balancer, server *registry.Server, _ *Query) {
			b.ReportLimit(now, server, &limit, now)
		}, false},
		"cold without a token": {Grant{Limited: true}, func(*Balancer, *registry.Server, *Query) {}, false},
		"another process":      {Grant{Cold: true}, func(_ *Balancer, server *registry.Server, _ *Query) { server.StartMillis++ }, false},
		"has had the request":  {Grant{Cold: true}, func(_ *Balancer, server *registry.Server, q *Query) { q.Tried = []string{server.Name} }, false},
		"other region":         {Grant{Cold: true}, func(_ *Balancer, _ *registry.Server, q *Query) { q.AllowedRegions = [][]string{{"c"}} }, false},
		"says that it is leaving": {Grant{Cold: true}, func(b *Balancer, server *registry.Server, _ *Query) {
			b.ReportNotice(now, server, true, 0)
		}, false},
		"wants rest": {Grant{Cold: true}, func(b *Balancer, server *registry.Server, _ *Query) {
			b.ReportNotice(now, server, false, time.Second)
		}, false},
		"takes no connections": {Grant{Cold: true}, func(b *Balancer, server *registry.Server, _ *Query) {
			b.stateOf(server).backoffUntil = now.Add(time.Second)
		}, false},
		"full": {Grant{Cold: true}, func(b *Balancer, server *registry.Server, _ *Query) {
			b.stateOf(server).outstanding = maxOutstanding
		}, false},
		"ejected": {Grant{Cold: true}, func(b *Balancer, server *registry.Server, _ *Query) {
			for !b.stateOf(server).health.Ejected() {
				b.stateOf(server).health.Observe(0, health.Failure, true)
			}
		}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b, list, q := newBalancer(), servers(1), Query{Region: "a", Grant: &test.grant}
			server := list[0]
			server.ColdUntil = now.Add(time.Second)
			b.AdmitLimited = func(time.Time, *registry.Server, float64) (bool, time.Duration) { return false, 0 }
			b.CountWarm = func(time.Time, *registry.Server) { t.Error("the request is counted as one to a warm server") }
			q.Grant.Server, q.Grant.StartMillis = server.Name, server.StartMillis
			b.stateOf(server)
			test.prepare(b, server, &q)
			// All servers that are ejected count as usable.
			other := &registry.Server{Name: "other", Region: "b", ColdUntil: server.ColdUntil, ServerRecord: tamarackrun.ServerRecord{Slots: 3}}
			c, reason := b.Choose(now, append(list, other), q)
			if got := reason == "" && c.Granted && !c.Limited && c.ColdAdmitted.IsZero(); got != test.granted {
				t.Errorf("granted %t, want %t; reason %q", got, test.granted, reason)
			}
		})
	}
}

// Guards against more requests to a cold server than its limit in any second, summed over instances that send their own and
// granted ones, while delegates refuse, are asked one after the other and take their time.
func TestGrantsKeepLimitOfFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, count := rapid.Float64Range(1, 40).Draw(t, "limit"), rapid.IntRange(1, 8).Draw(t, "instances")
		cutOff := rapid.IntRange(0, count-1).Draw(t, "cut off")
		now := time.Unix(1000, 0)
		server := servers(1)[0]
		server.ColdUntil = now.Add(time.Hour)
		var names []string
		for i := range count {
			names = append(names, fmt.Sprint("instance-", i))
		}
		limiters, balancers := make([]*coldstart.Limiter, count), make([]*Balancer, count)
		for i, name := range names {
			l := &coldstart.Limiter{Name: name}
			limiters[i], balancers[i] = l, newBalancer()
			balancers[i].AdmitCold = func(now time.Time, server *registry.Server) bool { return l.Admit(now, server.Name, limit, names) }
		}
		type request struct{ sent, arrived time.Time }
		var requests []request
		send := func(instance int, sent time.Time, grant *Grant) {
			c, reason := balancers[instance].Choose(now, []*registry.Server{server}, Query{Grant: grant})
			if reason != "" {
				return
			}
			requests = append(requests, request{sent, now})
			balancers[instance].Done(now, c, health.Success, false, 1)
		}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Millisecond)
			instance, sent := rapid.IntRange(0, count-1).Draw(t, "instance"), now
			if instance >= cutOff {
				send(instance, sent, nil)
				continue
			}
			grant := balancers[instance].TakeGrant(now, []*registry.Server{server}, Query{}, false)
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "way")) * time.Millisecond)
			if rapid.Bool().Draw(t, "taken") {
				send(rapid.IntRange(cutOff, count-1).Draw(t, "delegate"), sent, grant)
			} else if grant != nil {
				limiters[instance].Return(grant.TakenAt, grant.Server)
			}
		}
		for _, last := range requests {
			n := 0
			for _, r := range requests {
				if r.sent.After(last.arrived.Add(-time.Second)) && !r.arrived.After(last.arrived) {
					n++
				}
			}
			if float64(n) > limit {
				t.Fatalf("%d requests in a second, limit %.1f", n, limit)
			}
		}
	})
}

// Guards against a share of a cold server's limit that is used up by requests which are not sent, because the instance has lost
// its links.
func TestUnsentRequestReturnsColdToken(t *testing.T) {
	b, list, now := newBalancer(), servers(1), time.Now()
	list[0].ColdUntil = now.Add(time.Second)
	l := &coldstart.Limiter{Name: "a"}
	// The share is one request.
	b.AdmitCold = func(now time.Time, server *registry.Server) bool { return l.Admit(now, server.Name, 2, []string{"a"}) }
	b.ReturnCold = func(admitted time.Time, server *registry.Server) { l.Return(admitted, server.Name) }
	for i := range 3 {
		c, reason := b.Choose(now.Add(time.Duration(i)*time.Millisecond), list, Query{})
		if reason != "" {
			t.Fatalf("request %d is refused: %s", i+1, reason)
		}
		b.Cancel(now.Add(10*time.Millisecond), c)
	}
	c, _ := b.Choose(now, list, Query{})
	b.Done(now, c, health.Success, false, 1)
	if _, reason := b.Choose(now, list, Query{}); reason != tamarackrun.ServerCold {
		t.Errorf("reason %q, want the refusal of a second request that is sent", reason)
	}
}
