// Package waiting provides a pause for loops that run until their context ends.
package waiting

import (
	"context"
	"time"
)

// Pause blocks for the duration or until the context ends, whichever comes first.
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
