// Package share divides the rate limit of each organisation between instances. The shares
// are in records in the platform's store, and each instance holds its shares under a term,
// a lease that it renews. When a term lapses, other instances reclaim its shares.
package share

import (
	"encoding/json"

	"tamarackrun/internal/coordination/rate"
)

const (
	recordPrefix = "share/"
	termPrefix   = "term/"
)

// splitShare is a share in two halves. Without contact to the store, the holder may use
// the upper half for a shorter time than the floor half.
type splitShare struct {
	Upper rate.Fraction `json:"upper"`
	Floor rate.Fraction `json:"floor"`
}

func (s splitShare) sum() rate.Fraction { return s.Upper + s.Floor }

// split divides a share into its two halves.
func split(f rate.Fraction) splitShare { return splitShare{f - f/2, f / 2} }

// record is the value of share/ORGANISATION.
type record struct {
	// Shares holds the shares by the name of the holder's term. They sum to at most
	// rate.Whole.
	Shares map[string]splitShare `json:"parts"`
}

// valid reports whether no half is negative and the shares sum to at most rate.Whole.
func (r record) valid() bool {
	remaining := rate.Whole
	for _, s := range r.Shares {
		if s.Upper < 0 || s.Floor < 0 || s.Upper > remaining || s.Floor > remaining-s.Upper {
			return false
		}
		remaining -= s.sum()
	}
	return true
}

// free returns the part of the limit that belongs to no holder.
func (r record) free() rate.Fraction {
	free := rate.Whole
	for _, s := range r.Shares {
		free -= s.sum()
	}
	return free
}

// state is the state of a term. It only changes in the order of the constants.
type state string

const (
	held           state = "held"
	upperReclaimed state = "upperReclaimed"
	reclaimed      state = "reclaimed"
)

// valid reports whether s is a known state. The zero value belongs to a term that does not
// exist.
func (s state) valid() bool { return s == "" || s == held || s == upperReclaimed || s == reclaimed }

// term is the value of term/INCARNATION. It is the lease under which a process uses its
// shares. A process that lost its term continues with term/INCARNATION.1 and so on.
type term struct {
	// Counter is the number of renewals.
	Counter int64 `json:"counter"`
	State   state `json:"state"`
}

// withoutReclaimed returns the record without the shares and halves that were reclaimed.
func (r record) withoutReclaimed(terms map[string]stored[term]) record {
	kept := record{Shares: map[string]splitShare{}}
	for incarnation, s := range r.Shares {
		switch terms[incarnation].value.State {
		case reclaimed:
			continue
		case upperReclaimed:
			s.Upper = 0
		}
		kept.Shares[incarnation] = s
	}
	return kept
}

// stored is a decoded object. It has version 0 if it does not exist.
type stored[T any] struct {
	value   T
	version int64
}

// encode returns the JSON form of a record or a term.
func encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		// Records and terms hold only strings and integers.
		panic(err)
	}
	return text
}
