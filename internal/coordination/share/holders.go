package share

import (
	"sort"

	"tamarackrun/internal/coordination/rendezvous"

	"tamarackrun/internal/coordination/rate"
)

// MaxHolders is the most instances that hold a share of one organisation. More
// would make the parts smaller and the loans more frequent.
const MaxHolders = 8

// Candidate is an instance that may hold shares.
type Candidate struct{ Name, Region string }

// Holders chooses the holders of an organisation by rendezvous hashing, in
// turn from each region so that the loss of one region leaves holders.
func Holders(organisation string, candidates []Candidate) []string {
	regions := map[string][]Candidate{}
	for _, c := range candidates {
		regions[c.Region] = append(regions[c.Region], c)
	}
	var queues [][]Candidate
	for _, list := range regions {
		byScore(organisation, list)
		queues = append(queues, list)
	}
	sort.Slice(queues, func(i, j int) bool { return above(organisation, queues[i][0], queues[j][0]) })
	var holders []string
	for round := 0; len(holders) < min(MaxHolders, len(candidates)); round++ {
		for _, q := range queues {
			if round < len(q) && len(holders) < MaxHolders {
				holders = append(holders, q[round].Name)
			}
		}
	}
	return holders
}

func byScore(organisation string, list []Candidate) {
	sort.Slice(list, func(i, j int) bool { return above(organisation, list[i], list[j]) })
}

func above(organisation string, a, b Candidate) bool {
	x, y := rendezvous.Score(organisation, a.Name), rendezvous.Score(organisation, b.Name)
	return x > y || x == y && a.Name < b.Name
}

// Target is the own part of an organisation: equal parts for all holders.
func Target(self string, holders []string) rate.Fraction {
	for _, name := range holders {
		if name == self {
			return rate.Whole / rate.Fraction(len(holders))
		}
	}
	return 0
}
