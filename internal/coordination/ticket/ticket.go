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
	// Lifetime is how long after its issue a ticket can be used to start a request.
	Lifetime = 10 * time.Minute
	// MaxCount is the largest number of tickets that one call issues.
	MaxCount = 100
)

// Ticket permits an organisation to run one non-idempotent request on a route.
type Ticket struct {
	// Incarnation identifies the process that issued the ticket. Only this process
	// starts a request under it.
	Incarnation string `json:"incarnation"`
	// Sequence is the number of the ticket, unique in the incarnation.
	Sequence     uint64 `json:"sequence"`
	Organisation string `json:"organisation"`
	Route        string `json:"route"`
	// ExpiryMillis is the time of expiry on the issuer's clock, in milliseconds.
	ExpiryMillis int64 `json:"expiryMillis"`
}

// Expiry returns the time on the issuer's clock from which on no request is started
// under the ticket.
func (t Ticket) Expiry() time.Duration { return time.Duration(t.ExpiryMillis) * time.Millisecond }

// Issuer issues the tickets of one incarnation. It is safe for concurrent use.
type Issuer struct {
	incarnation string
	key         []byte

	mu sync.Mutex
	// next is the sequence number of the next ticket. Numbers are never reused.
	next uint64
}

// NewIssuer returns an issuer that signs tickets with the key. The key is secret and
// must differ for each incarnation.
func NewIssuer(incarnation string, key []byte) *Issuer {
	return &Issuer{incarnation: incarnation, key: key}
}

// Issue returns count tickets in their text form.
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

// Key returns the secret key. It leaves the process only after the last request of
// the process has started.
func (i *Issuer) Key() []byte { return i.key }

func encode(b []byte) string { return base64.RawURLEncoding.EncodeToString(b) }

// sign returns the HMAC-SHA-256 of a ticket's payload.
func sign(key, payload []byte) []byte {
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write(payload)
	return mac.Sum(nil)
}

// Parse decodes a ticket without verifying its signature.
func Parse(text string) (Ticket, bool) {
	t, _, _, ok := decode(text)
	return t, ok
}

// Verify decodes a ticket and reports whether it was signed with the key.
func Verify(key []byte, text string) (Ticket, bool) {
	t, payload, mac, ok := decode(text)
	if !ok || !hmac.Equal(mac, sign(key, payload)) {
		return Ticket{}, false
	}
	return t, true
}

// decode decodes the text form of a ticket: the payload and the MAC, each in base64,
// with a dot between them.
func decode(text string) (t Ticket, payload, mac []byte, ok bool) {
	encodedPayload, encodedMAC, found := strings.Cut(text, ".")
	payload, err := base64.RawURLEncoding.DecodeString(encodedPayload)
	if !found || err != nil {
		return Ticket{}, nil, nil, false
	}
	mac, err = base64.RawURLEncoding.DecodeString(encodedMAC)
	if err != nil || json.Unmarshal(payload, &t) != nil {
		return Ticket{}, nil, nil, false
	}
	return t, payload, mac, true
}
