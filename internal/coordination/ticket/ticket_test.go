package ticket

import (
	"flag"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// init fixes the seed so that a failure can be reproduced.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "2000")
}

// Guards against tickets that are accepted after a change. A caller that could change
// the organisation, the route, the sequence number or the expiry could run a request
// twice or in the name of another organisation.
func TestVerifyRejectsChangedTickets(t *testing.T) {
	key := []byte("secret")
	rapid.Check(t, func(t *rapid.T) {
		issuer := NewIssuer("entry-1-RUN", key)
		texts, err := issuer.Issue(time.Minute, rapid.String().Draw(t, "organisation"), rapid.String().Draw(t, "route"), 2)
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := Verify(key, texts[1]); !ok {
			t.Fatal("an issued ticket was rejected")
		}
		at := rapid.IntRange(0, len(texts[1])-1).Draw(t, "at")
		letter := rapid.SampledFrom([]byte("ABCDefgh0123-_.")).Draw(t, "letter")
		changed := texts[1][:at] + string(letter) + texts[1][at+1:]
		got, ok := Verify(key, changed)
		want, _ := Verify(key, texts[1])
		// The last character of the base64 text has unused bits, so a change of it
		// may have no effect.
		if ok && got != want {
			t.Fatalf("the changed ticket %q was accepted", changed)
		}
	})
}

// Guards against two tickets with the same sequence number. They would share a
// record, and one of the two requests would be lost.
func TestSequenceNumbersAreNotReused(t *testing.T) {
	issuer := NewIssuer("entry-1-RUN", []byte("secret"))
	seen := map[uint64]bool{}
	for range 3 {
		texts, err := issuer.Issue(0, "tea", "order", MaxCount)
		if err != nil {
			t.Fatal(err)
		}
		for _, text := range texts {
			ticket, ok := Parse(text)
			if !ok || seen[ticket.Sequence] {
				t.Fatalf("ticket %+v is unreadable or reuses a sequence number", ticket)
			}
			seen[ticket.Sequence] = true
		}
	}
	if diff := cmp.Diff(uint64(3*MaxCount), issuer.Next()); diff != "" {
		t.Error(diff)
	}
}

// Guards against a key that verifies tickets of another incarnation or malformed
// ones.
func TestVerifyRejectsOtherKeys(t *testing.T) {
	texts, _ := NewIssuer("entry-1-RUN", []byte("one")).Issue(0, "tea", "order", 1)
	for _, text := range []string{texts[0], "", ".", strings.Replace(texts[0], ".", "", 1)} {
		if _, ok := Verify([]byte("two"), text); ok {
			t.Errorf("ticket %q was accepted", text)
		}
	}
}
