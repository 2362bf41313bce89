package rate

import (
	"math"
	"time"
)

// demandTimeConstant is the time constant of the estimate. It is long enough that a few
// requests do not look like a rate, and short enough to follow a caller that moves to
// another instance.
const demandTimeConstant = time.Second

// demand estimates the rate of requests with an exponentially decaying average.
type demand struct {
	// perSecond is the estimate at the time updated.
	perSecond float64
	updated   time.Duration
}

// count counts a request.
func (d *demand) count(now time.Duration) {
	d.perSecond = d.at(now) + 1/demandTimeConstant.Seconds()
	d.updated = max(d.updated, now)
}

// at returns the average at a time, in requests per second.
func (d *demand) at(now time.Duration) float64 {
	if now <= d.updated {
		return d.perSecond
	}
	return d.perSecond * math.Exp(-(now-d.updated).Seconds()/demandTimeConstant.Seconds())
}

// current returns an estimate that falls faster than the average when requests stop. It
// does so once no request has arrived for longer than usualGaps mean gaps between
// requests. The gap between Poisson arrivals exceeds twice its mean in 13% of cases and
// 4 times its mean in 2%.
func (d *demand) current(now time.Duration) float64 {
	const usualGaps = 2
	missed := d.perSecond * (now - d.updated).Seconds()
	return d.at(now) * min(1, math.Exp(usualGaps-missed))
}
