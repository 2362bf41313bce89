// Package waiting holds the pause of loops that end with a context.
package waiting

import (
	"context"
	"time"
)

// Pause waits for the time or until the context ends.
func Pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
