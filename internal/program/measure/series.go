package measure

import (
	"runtime"
	"runtime/metrics"
	"syscall"
	"time"
)

// Series holds a quantity measured at several sizes and its least-squares line,
// weighted by 1/value so that small sizes count too.
type Series struct {
	Name string
	// Of is what the sizes count, Unit the unit of the values.
	Of, Unit      string
	Sizes, Values []float64
	// Slope and Base describe the line: Base + Slope * size.
	Slope, Base float64
}

// measureSeries measures the quantity at each size.
func measureSeries(name, of, unit string, sizes []int, value func(size int) float64) Series {
	s := Series{Name: name, Of: of, Unit: unit}
	for _, n := range sizes {
		s.Sizes, s.Values = append(s.Sizes, float64(n)), append(s.Values, value(n))
	}
	s.fit()
	return s
}

// fit computes Slope and Base from the sizes and the values.
func (s *Series) fit() {
	var w, x, y, xx, xy float64
	for i := range s.Sizes {
		weight := 1 / max(s.Values[i], 1e-9)
		w += weight
		x += weight * s.Sizes[i]
		y += weight * s.Values[i]
		xx += weight * s.Sizes[i] * s.Sizes[i]
		xy += weight * s.Sizes[i] * s.Values[i]
	}
	if d := w*xx - x*x; d != 0 {
		s.Slope = (w*xy - x*y) / d
	}
	s.Base = (y - s.Slope*x) / w
}

// At returns the value for a size: the measured value if there is one, otherwise
// the value of the line, which is at least 0.
func (s Series) At(size float64) float64 {
	for i := range s.Sizes {
		if s.Sizes[i] == size {
			return s.Values[i]
		}
	}
	return max(0, s.Base+s.Slope*size)
}

// cpuSeconds returns the processor time that this process has used. Unlike wall
// time, it does not depend on other programs of a busy host.
func cpuSeconds() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	seconds := func(t syscall.Timeval) float64 { return float64(t.Sec) + float64(t.Usec)/1e6 }
	return seconds(u.Utime) + seconds(u.Stime)
}

const (
	// minMeasureTime is the least processor time of the repetitions from which a
	// value is computed.
	minMeasureTime = 100 * time.Millisecond
	// firstBatch is the first number of repetitions, which doubles until
	// minMeasureTime is reached.
	firstBatch = 1
)

// cpuSecondsOf returns the processor time of one call of the task in seconds,
// including its part of the garbage collection.
func cpuSecondsOf(task func()) float64 {
	task()
	for batch := firstBatch; ; batch *= 2 {
		start := cpuSeconds()
		for range batch {
			task()
		}
		if used := cpuSeconds() - start; used >= minMeasureTime.Seconds() {
			return used / float64(batch)
		}
	}
}

// heapBytes returns the size of the objects on the heap in bytes.
func heapBytes() float64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return float64(sample[0].Value.Uint64())
}

// heapBytesOf returns the bytes of heap that the built value holds.
func heapBytesOf(build func() any) float64 {
	runtime.GC()
	runtime.GC()
	before := heapBytes()
	value := build()
	runtime.GC()
	runtime.GC()
	after := heapBytes()
	runtime.KeepAlive(value)
	return max(0, after-before)
}

// peakBytesOf returns by how many bytes the heap grows at most while the task runs,
// with the default settings of the garbage collector.
func peakBytesOf(task func()) float64 {
	runtime.GC()
	before, peak := heapBytes(), 0.0
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			peak = max(peak, heapBytes())
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Microsecond):
			}
		}
	}()
	task()
	close(stop)
	<-ended
	return max(0, peak-before)
}
