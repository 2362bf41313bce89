package caller

import (
	"sync/atomic"
	"time"
)

// latest is the time of the latest request.
type latest struct{ at atomic.Pointer[time.Time] }

func (l *latest) touch() {
	now := time.Now()
	l.at.Store(&now)
}

// SinceLastRequest returns the time since the latest request began.
func (s *Server) SinceLastRequest() time.Duration {
	at := s.latest.at.Load()
	if at == nil {
		return time.Since(time.Time{})
	}
	return time.Since(*at)
}
