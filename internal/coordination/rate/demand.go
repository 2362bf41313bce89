package rate

import (
	"math"
	"time"
)

// demandWindow is the time constant of the estimate: long enough that a few
// requests do not look like a rate, short enough to follow a caller that moves
// to another instance.
const demandWindow = time.Second

// demand estimates the requests per second by exponential decay.
type demand struct {
	perSecond float64
	last      time.Duration
}

func (d *demand) add(now time.Duration) {
	d.perSecond = d.at(now) + 1/demandWindow.Seconds()
	d.last = max(d.last, now)
}

func (d *demand) at(now time.Duration) float64 {
	if now <= d.last {
		return d.perSecond
	}
	return d.perSecond * math.Exp(-(now-d.last).Seconds()/demandWindow.Seconds())
}

// current is the estimate for the present: it falls at once when no request
// comes for longer than the gaps between requests explain. Gaps of Poisson
// arrivals exceed twice their mean in 13% of cases and 4 times in 2%.
func (d *demand) current(now time.Duration) float64 {
	const usualGaps = 2
	missed := d.perSecond * (now - d.last).Seconds()
	return d.at(now) * min(1, math.Exp(usualGaps-missed))
}
