package front

import (
	"math"
	"sync"
	"time"
)

// rateTimeConstant is the time constant of the rate of requests.
const rateTimeConstant = 3 * time.Second

// movingRate is the moving average of the rate of events. Its zero value is ready for use. It
// is safe for concurrent use.
type movingRate struct {
	mu sync.Mutex
	// rate is the average at the time updated, in events per second.
	rate    float64
	updated time.Time
}

// add counts an event.
func (m *movingRate) add(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	m.rate += 1 / rateTimeConstant.Seconds()
}

// value returns the average rate in events per second.
func (m *movingRate) value(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(now)
	return m.rate
}

func (m *movingRate) advance(now time.Time) {
	if elapsed := now.Sub(m.updated); elapsed > 0 {
		m.rate *= math.Exp(-elapsed.Seconds() / rateTimeConstant.Seconds())
		m.updated = now
	}
}
