package front

import (
	"time"

	"tamarackrun/internal/state/configuration"
)

// minDemand is the demand of the fleet, in requests per second, below which the parts of its
// organisations say too little.
const minDemand = 10

// noteConfined tells the balancer which part of the fleet's demand may run only in each region.
func (f *Front) noteConfined(totalDemand func(organisation string) float64) {
	c := f.snapshot.Load()
	if c == nil {
		return
	}
	fractions := confinedFractions(c, f.Identity.Regions, totalDemand)
	for region, fraction := range fractions {
		f.scope.Tagged(map[string]string{"region": region}).Gauge("confined_demand").Update(fraction)
	}
	if len(fractions) > 0 {
		f.balancer.SetConfined(time.Now(), fractions)
	}
}

// confinedFractions returns for each region the fraction of the organisations' demand, as far as
// their limits allow it, that may run only there. An organisation of several but not all regions
// counts in equal parts. It returns nil if the demand is too low. regions maps each failure domain
// to its region.
func confinedFractions(c *configuration.Snapshot, regions map[string]string, totalDemand func(organisation string) float64) map[string]float64 {
	fractions := map[string]float64{}
	for _, region := range regions {
		fractions[region] = 0
	}
	all := 0.0
	for _, o := range c.Organisations {
		demand := totalDemand(o.Name)
		if o.Rate > 0 {
			demand = min(demand, o.Rate)
		}
		all += demand
		if len(o.Regions) < len(fractions) {
			for _, region := range o.Regions {
				fractions[region] += demand / float64(len(o.Regions))
			}
		}
	}
	if all < minDemand {
		return nil
	}
	for region := range fractions {
		fractions[region] /= all
	}
	return fractions
}
