package manifest

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"tamarackrun"
)

var errLost = errors.New("answer lost")

// store is an object store whose calls fail as drawn.
type store struct {
	tamarackrun.ObjectStore
	objects map[string]tamarackrun.Object
	// fault is asked for each call: 0 none, 1 refused before it took effect,
	// 2 the answer is lost.
	fault func() int
	// between runs before each write of the manifest that takes effect, and
	// after each one whose answer is lost.
	between func()
}

func (s *store) Get(_ context.Context, name string) (tamarackrun.Object, error) {
	if s.fault() != 0 {
		return tamarackrun.Object{}, errLost
	}
	object, ok := s.objects[name]
	if !ok {
		return object, tamarackrun.ErrNotFound
	}
	return object, nil
}

func (s *store) Put(_ context.Context, name string, value []byte, expected int64) (tamarackrun.Object, error) {
	fault := s.fault()
	if fault == 1 {
		return tamarackrun.Object{}, errLost
	}
	if name == ObjectName {
		s.between()
	}
	if s.objects[name].Version != expected {
		if fault == 2 {
			return tamarackrun.Object{}, errLost
		}
		return tamarackrun.Object{}, tamarackrun.ErrConflict
	}
	object := tamarackrun.Object{Name: name, Version: expected + 1, Value: value}
	s.objects[name] = object
	if fault == 2 {
		if name == ObjectName {
			s.between()
		}
		return tamarackrun.Object{}, errLost
	}
	return object, nil
}

// Guards against a result that is assumed: a write that reports success is
// among the versions, one that reports a conflict is not, whatever answers are
// lost and whoever writes in between, and every version can be read again.
func TestWriteReportsTheTruth(t *testing.T) {
	rapid.Check(t, checkWrite)
}

func checkWrite(t *rapid.T) {
	ctx := context.Background()
	s := &store{objects: map[string]tamarackrun.Object{}, fault: func() int { return 0 }, between: func() {}}
	if _, err := Write(ctx, s, []byte("first"), "a", 0); err != nil {
		t.Fatal(err)
	}
	others := 0
	interfere := func() {
		if !rapid.Bool().Draw(t, "interfere") || others == 3 {
			return
		}
		others++
		other := &store{objects: s.objects, fault: func() int { return 0 }, between: func() {}}
		if _, err := Write(ctx, other, []byte(fmt.Sprint("other", others)), "b", s.objects[ObjectName].Version); err != nil {
			t.Fatal(err)
		}
	}
	calls := 0
	// The faults end, so that a run does not wait for the last attempt.
	s.fault = func() int {
		if calls++; calls > 6 {
			return 0
		}
		return rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "fault")
	}
	s.between = interfere
	version, err := write(ctx, s, []byte("mine"), "a", 1, func(context.Context, time.Duration) bool { return true })
	s.fault = func() int { return 0 }
	texts := map[string]int64{}
	for v := s.objects[ObjectName].Version; v > 0; v-- {
		text, err := ReadVersion(ctx, s, v)
		if err != nil {
			t.Fatalf("version %d: %v", v, err)
		}
		texts[string(text)] = v
	}
	switch {
	case err == nil && texts["mine"] != version:
		t.Errorf("reported version %d, stored %v", version, texts)
	case errors.Is(err, tamarackrun.ErrConflict) && (texts["mine"] != 0 || others == 0):
		t.Errorf("reported a conflict, stored %v", texts)
	}
}

// Guards against a chunk whose content was changed under way.
func TestJoinChecksHashes(t *testing.T) {
	document := make([]byte, 2*chunkSize+1)
	m, contents := Split(document)
	if diff := cmp.Diff(3, len(m.Chunks)); diff != "" {
		t.Fatalf("chunks (-want +got):\n%s", diff)
	}
	changed := maps.Clone(contents)
	changed[m.Chunks[2]] = []byte("other")
	fetch := func(from map[string][]byte) func(string) ([]byte, error) {
		return func(hash string) ([]byte, error) { return from[hash], nil }
	}
	if joined, err := Join(m, fetch(contents)); err != nil || len(joined) != len(document) {
		t.Errorf("joined %d bytes, error %v", len(joined), err)
	}
	var hash *HashError
	if _, err := Join(m, fetch(changed)); !errors.As(err, &hash) {
		t.Errorf("error %v, want a HashError", err)
	}
}
