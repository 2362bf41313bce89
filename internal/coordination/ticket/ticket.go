// Package ticket issues and verifies the tickets under which non-idempotent
// requests run at most once.
package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strings"
	"sync"
	"time"
)

const (
	// Lifetime is how long a ticket may start a request.
	Lifetime = 10 * time.Minute
	// MaxCount is the largest number of tickets issued at once.
	MaxCount = 100
)

// Ticket permits one order of an organisation on a route.
type Ticket struct {
	// Incarnation is the issuer. Only this run of the process starts a request
	// under the ticket.
	Incarnation  string `json:"incarnation"`
	Sequence     uint64 `json:"sequence"`
	Organisation string `json:"organisation"`
	Route        string `json:"route"`
	// ExpiryMillis is on the issuer's clock.
	ExpiryMillis int64 `json:"expiryMillis"`
}

// Expiry is the time on the issuer's clock from which the ticket starts no
// request.
func (t Ticket) Expiry() time.Duration { return time.Duration(t.ExpiryMillis) * time.Millisecond }

// Issuer issues the tickets of one incarnation. It is safe for concurrent use.
type Issuer struct {
	incarnation string
	key         []byte

	mu sync.Mutex
	// next is the sequence number of the next ticket. Numbers are never reused.
	next uint64
}

// NewIssuer returns an issuer. The key is secret and differs for each
// incarnation.
func NewIssuer(incarnation string, key []byte) *Issuer {
	return &Issuer{incarnation: incarnation, key: key}
}

// Issue returns a number of tickets in their text form.
func (i *Issuer) Issue(now time.Duration, organisation, route string, count int) ([]string, error) {
	i.mu.Lock()
	first := i.next
	i.next += uint64(count)
	i.mu.Unlock()
	var texts []string
	for n := range uint64(count) {
		payload, err := json.Marshal(Ticket{Incarnation: i.incarnation, Sequence: first + n, Organisation: organisation,
			Route: route, ExpiryMillis: (now + Lifetime).Milliseconds()})
		if err != nil {
			return nil, err
		}
		texts = append(texts, encode(payload)+"."+encode(sign(i.key, payload)))
	}
	return texts, nil
}

// Next returns the sequence number that the next ticket will have.
func (i *Issuer) Next() uint64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.next
}

// Key returns the secret, which leaves the process only after it started its
// last request.
func (i *Issuer) Key() []byte { return i.key }

func encode(b []byte) string { return base64.RawURLEncoding.EncodeToString(b) }

func sign(key, payload []byte) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write(payload)
	return mac.Sum(nil)
}

// Parse reads a ticket without verifying it.
func Parse(text string) (Ticket, bool) {
	t, _, _, ok := split(text)
	return t, ok
}

// Verify reads a ticket and checks that it was issued under the key.
func Verify(key []byte, text string) (Ticket, bool) {
	t, payload, mac, ok := split(text)
	if !ok || !hmac.Equal(mac, sign(key, payload)) {
		return Ticket{}, false
	}
	return t, true
}

func split(text string) (t Ticket, payload, mac []byte, ok bool) {
	first, second, found := strings.Cut(text, ".")
	payload, err := base64.RawURLEncoding.DecodeString(first)
	if !found || err != nil {
		return Ticket{}, nil, nil, false
	}
	mac, err = base64.RawURLEncoding.DecodeString(second)
	if err != nil || json.Unmarshal(payload, &t) != nil {
		return Ticket{}, nil, nil, false
	}
	return t, payload, mac, true
}
