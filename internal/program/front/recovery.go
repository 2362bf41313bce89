package front

import (
	"context"
	"time"

	"tamarackrun/internal/coordination/waiting"
	"tamarackrun/internal/protocol/event"
)

// restartPause is the pause before a background task is started again after a panic.
const restartPause = time.Second

// recoverPanic records the panic of the calling goroutine, if there is one, and calls
// handle. It must be deferred. Without it, one malformed message or record would end the
// process and with it all running requests.
func (f *Front) recoverPanic(task string, handle func()) {
	value := recover()
	if value == nil {
		return
	}
	event.RecordPanic(f.history, task, value)
	if handle != nil {
		handle()
	}
}

// keepRunning runs a background task until the context ends and starts it again after a
// panic.
func (f *Front) keepRunning(ctx context.Context, name string, task func(context.Context)) {
	for ctx.Err() == nil {
		func() {
			defer f.recoverPanic(name, nil)
			task(ctx)
		}()
		waiting.Pause(ctx, restartPause)
	}
}
