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
