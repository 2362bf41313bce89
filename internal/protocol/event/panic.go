package event

import (
	"fmt"
	"runtime/debug"

	"tamarackrun"
)

// maxStackLog bounds the stack trace in the event of a panic, in bytes.
const maxStackLog = 2 << 10

// RecordPanic records the panic of a task with the value that recover returned. The deferred
// function that has recovered it calls RecordPanic, so that the stack is still that of the panic.
func RecordPanic(recorder tamarackrun.Recorder, task string, value any) {
	stack := debug.Stack()
	recorder.Record(PanicRecovered, "", "task", task, "error", fmt.Sprint(value), "stack", string(stack[:min(len(stack), maxStackLog)]))
}
