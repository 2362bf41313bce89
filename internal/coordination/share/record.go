// Package share divides the rate of each organisation between instances by
// records in the platform.
package share

import (
	"encoding/json"

	"tamarackrun/internal/coordination/rate"
)

const (
	recordPrefix = "share/"
	termPrefix   = "term/"
)

// part is a share in two halves, which the holder may use for different times
// without contact to the store.
type part struct {
	Upper rate.Fraction `json:"upper"`
	Floor rate.Fraction `json:"floor"`
}

func (p part) sum() rate.Fraction { return p.Upper + p.Floor }

// halves splits a share.
func halves(f rate.Fraction) part { return part{f - f/2, f / 2} }

// record is the value of share/ORGANISATION.
type record struct {
	// Parts are the shares by the holder's incarnation. They sum to at most
	// rate.Whole.
	Parts map[string]part `json:"parts"`
}

// valid says that no part is negative and that they sum to at most the whole.
func (r record) valid() bool {
	left := rate.Whole
	for _, p := range r.Parts {
		if p.Upper < 0 || p.Floor < 0 || p.Upper > left || p.Floor > left-p.Upper {
			return false
		}
		left -= p.sum()
	}
	return true
}

func (r record) free() rate.Fraction {
	free := rate.Whole
	for _, p := range r.Parts {
		free -= p.sum()
	}
	return free
}

// State is the state of a term. It only moves forward.
type state string

const (
	held           state = "held"
	upperReclaimed state = "upperReclaimed"
	reclaimed      state = "reclaimed"
)

// valid accepts the zero value of a term that does not exist.
func (s state) valid() bool { return s == "" || s == held || s == upperReclaimed || s == reclaimed }

// term is the value of term/INCARNATION.
type term struct {
	// Counter grows with each renewal.
	Counter int64 `json:"counter"`
	State   state `json:"state"`
}

// without returns the record without what was reclaimed.
func (r record) without(terms map[string]stored[term]) record {
	kept := record{Parts: map[string]part{}}
	for incarnation, p := range r.Parts {
		switch terms[incarnation].value.State {
		case reclaimed:
			continue
		case upperReclaimed:
			p.Upper = 0
		}
		kept.Parts[incarnation] = p
	}
	return kept
}

// stored is a decoded object. A version of 0 says that it does not exist.
type stored[T any] struct {
	value   T
	version int64
}

func encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		// Records and terms hold only strings and integers.
		panic(err)
	}
	return text
}
