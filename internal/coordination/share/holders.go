package share

import (
	"sort"

	"tamarackrun/internal/coordination/rate"
	"tamarackrun/internal/coordination/rendezvous"
)

// MaxHolders is the maximum number of instances that hold a share of one organisation.
// With more holders, shares would be smaller and loans more frequent.
const MaxHolders = 8

// Candidate is an instance that may hold shares.
type Candidate struct{ Name, Region string }

// Holders chooses the holders of an organisation by rendezvous hashing. It takes them in
// turn from each region, so that holders remain when a region is lost.
func Holders(organisation string, candidates []Candidate) []string {
	regions := map[string][]Candidate{}
	for _, c := range candidates {
		regions[c.Region] = append(regions[c.Region], c)
	}
	var byRegion [][]Candidate
	for _, list := range regions {
		sortByScore(organisation, list)
		byRegion = append(byRegion, list)
	}
	sort.Slice(byRegion, func(i, j int) bool { return ranksBefore(organisation, byRegion[i][0], byRegion[j][0]) })
	var holders []string
	for round := 0; len(holders) < min(MaxHolders, len(candidates)); round++ {
		for _, list := range byRegion {
			if round < len(list) && len(holders) < MaxHolders {
				holders = append(holders, list[round].Name)
			}
		}
	}
	return holders
}

// sortByScore sorts candidates by their rendezvous scores, highest first.
func sortByScore(organisation string, list []Candidate) {
	sort.Slice(list, func(i, j int) bool { return ranksBefore(organisation, list[i], list[j]) })
}

// ranksBefore reports whether a has a higher score than b, with ties broken by name.
func ranksBefore(organisation string, a, b Candidate) bool {
	x, y := rendezvous.Score(organisation, a.Name), rendezvous.Score(organisation, b.Name)
	return x > y || x == y && a.Name < b.Name
}

// Target returns the share of an organisation that the instance self should have: all
// holders have equal shares.
func Target(self string, holders []string) rate.Fraction {
	for _, name := range holders {
		if name == self {
			return rate.Whole / rate.Fraction(len(holders))
		}
	}
	return 0
}
