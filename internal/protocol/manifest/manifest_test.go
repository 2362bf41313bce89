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

var errAnswerLost = errors.New("answer lost")

// faultyStore is an object store in memory whose calls fail as fault decides.
type faultyStore struct {
	tamarackrun.ObjectStore
	objects map[string]tamarackrun.Object
	// fault is called for each call of the store: 0 means that the call succeeds, 1
	// that it fails without effect, 2 that it takes effect and its answer is lost.
	fault func() int
	// onManifestWrite is called before each write of the manifest that reaches the
	// store, and after each one that takes effect and whose answer is lost.
	onManifestWrite func()
}

func (s *faultyStore) Get(_ context.Context, name string) (tamarackrun.Object, error) {
	if s.fault() != 0 {
		return tamarackrun.Object{}, errAnswerLost
	}
	object, ok := s.objects[name]
	if !ok {
		return object, tamarackrun.ErrNotFound
	}
	return object, nil
}

func (s *faultyStore) Put(_ context.Context, name string, value []byte, expected int64) (tamarackrun.Object, error) {
	fault := s.fault()
	if fault == 1 {
		return tamarackrun.Object{}, errAnswerLost
	}
	if name == ObjectName {
		s.onManifestWrite()
	}
	if s.objects[name].Version != expected {
		if fault == 2 {
			return tamarackrun.Object{}, errAnswerLost
		}
		return tamarackrun.Object{}, tamarackrun.ErrConflict
	}
	object := tamarackrun.Object{Name: name, Version: expected + 1, Value: value}
	s.objects[name] = object
	if fault == 2 {
		if name == ObjectName {
			s.onManifestWrite()
		}
		return tamarackrun.Object{}, errAnswerLost
	}
	return object, nil
}

// Guards against a wrong result when answers are lost or others write concurrently: a
// write that reports success must be among the versions, one that reports a conflict
// must not, and every version must be readable.
func TestWriteReportsActualResult(t *testing.T) {
	rapid.Check(t, checkWrite)
}

func checkWrite(t *rapid.T) {
	ctx := context.Background()
	s := &faultyStore{objects: map[string]tamarackrun.Object{}, fault: func() int { return 0 }, onManifestWrite: func() {}}
	if _, err := Write(ctx, s, []byte("first"), "a", 0); err != nil {
		t.Fatal(err)
	}
	concurrentWrites := 0
	writeConcurrently := func() {
		if !rapid.Bool().Draw(t, "interfere") || concurrentWrites == 3 {
			return
		}
		concurrentWrites++
		other := &faultyStore{objects: s.objects, fault: func() int { return 0 }, onManifestWrite: func() {}}
		if _, err := Write(ctx, other, []byte(fmt.Sprint("other", concurrentWrites)), "b", s.objects[ObjectName].Version); err != nil {
			t.Fatal(err)
		}
	}
	calls := 0
	// The faults end after 6 calls, so that a write does not use up all attempts.
	s.fault = func() int {
		if calls++; calls > 6 {
			return 0
		}
		return rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "fault")
	}
	s.onManifestWrite = writeConcurrently
	version, err := write(ctx, s, []byte("mine"), "a", 1, func(context.Context, time.Duration) bool { return true })
	s.fault = func() int { return 0 }
	versions := map[string]int64{}
	for v := s.objects[ObjectName].Version; v > 0; v-- {
		text, err := ReadVersion(ctx, s, v)
		if err != nil {
			t.Fatalf("version %d: %v", v, err)
		}
		versions[string(text)] = v
	}
	switch {
	case err == nil && versions["mine"] != version:
		t.Errorf("reported version %d, stored %v", version, versions)
	case errors.Is(err, tamarackrun.ErrConflict) && (versions["mine"] != 0 || concurrentWrites == 0):
		t.Errorf("reported a conflict, stored %v", versions)
	}
}

// Guards against a chunk whose content was altered in transit.
func TestJoinChecksHashes(t *testing.T) {
	document := make([]byte, 2*maxChunkSize+1)
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
		t.Errorf("joined %d bytes, error %v; want the whole document and no error", len(joined), err)
	}
	var hash *HashError
	if _, err := Join(m, fetch(changed)); !errors.As(err, &hash) {
		t.Errorf("error %v, want a HashError", err)
	}
}
