package caller

import (
	"sync/atomic"
	"time"
)

// requestTime is when the latest request began; nil if there was none.
type requestTime struct{ latest atomic.Pointer[time.Time] }

func (t *requestTime) update() {
	now := time.Now()
	t.latest.Store(&now)
}

// SinceLastRequest returns the time since the latest request began. If there was none, it
// is the largest time.Duration.
func (s *Server) SinceLastRequest() time.Duration {
	at := s.lastRequest.latest.Load()
	if at == nil {
		return time.Since(time.Time{})
	}
	return time.Since(*at)
}
