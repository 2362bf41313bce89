package records

import (
	"cmp"
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"tamarackrun"
)

func record(name string, revision int64) tamarackrun.Record {
	return tamarackrun.Record{Name: name, Position: tamarackrun.Position{Revision: revision}}
}

func removal(name string, revision int64) tamarackrun.Record {
	return tamarackrun.Record{Name: name, Position: tamarackrun.Position{Revision: revision}, Removed: true}
}

func full(revision int64, records ...tamarackrun.Record) tamarackrun.Page {
	return tamarackrun.Page{Full: true, Position: tamarackrun.Position{Revision: revision}, Records: records}
}

func changes(revision int64, records ...tamarackrun.Record) tamarackrun.Page {
	return tamarackrun.Page{Position: tamarackrun.Position{Revision: revision}, Records: records}
}

// sorted returns the page with its records in the order of their names.
func sorted(page tamarackrun.Page) tamarackrun.Page {
	slices.SortFunc(page.Records, func(a, b tamarackrun.Record) int { return cmp.Compare(a.Name, b.Name) })
	return page
}

// Guards against a server that left and is in use again at an instance that restarts and reads
// through another one, because an older page brought the record back there.
func TestRemovedRecordsStayRemoved(t *testing.T) {
	c := New()
	c.Apply(full(10, record("a", 3), record("b", 9)))
	c.Apply(changes(12, removal("a", 12)))
	c.Apply(changes(11, record("a", 11)))
	c.Apply(full(9, record("a", 3)))
	page, err := c.Read(t.Context())
	if diff := gocmp.Diff(full(12, record("b", 9)), sorted(page)); diff != "" || err != nil {
		t.Errorf("records (-want +got):\n%s%v", diff, err)
	}
}

// Guards against pages of different sources that undo each other. A reader's page may start before
// what the instance has, and hold the end of an evacuation together with the next one of the same
// failure domain: applied without a comparison of the records' positions, the earlier removal ended
// the later evacuation.
func TestRecordsAreMergedByPosition(t *testing.T) {
	known := []tamarackrun.Page{full(10, record("a", 3), record("b", 9)), changes(20, removal("b", 15), record("a", 20))}
	tests := map[string]struct {
		page    tamarackrun.Page
		want    Update
		records []tamarackrun.Record
	}{
		"an earlier removal": {changes(25, removal("a", 15), record("a", 20)),
			Update{Page: changes(25)}, []tamarackrun.Record{record("a", 20)}},
		"an earlier removal alone": {changes(25, removal("a", 15)),
			Update{Page: changes(25)}, []tamarackrun.Record{record("a", 20)}},
		"a removed record": {changes(25, record("b", 9), record("c", 25)),
			Update{Page: changes(25, record("c", 25)), Changed: true}, []tamarackrun.Record{record("a", 20), record("c", 25)}},
		"a record that the whole collection did not have": {changes(25, record("d", 8)),
			Update{Page: changes(25)}, []tamarackrun.Record{record("a", 20)}},
		"a record that was added again": {changes(25, record("b", 22)),
			Update{Page: changes(25, record("b", 22)), Changed: true}, []tamarackrun.Record{record("a", 20), record("b", 22)}},
		"a removal with the position of its record": {changes(25, removal("a", 20), record("a", 20)),
			Update{Page: changes(25, removal("a", 20)), Changed: true}, nil},
		"a whole collection from before": {full(19, record("a", 3)),
			Update{Page: changes(20)}, []tamarackrun.Record{record("a", 20)}},
		"an unchanged whole collection": {full(25, record("a", 20)),
			Update{Page: full(25, record("a", 20))}, []tamarackrun.Record{record("a", 20)}},
		"a whole collection without a record": {full(25),
			Update{Page: full(25), Changed: true, Vanished: true}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := New()
			for _, page := range known {
				c.Apply(page)
			}
			if diff := gocmp.Diff(test.want, c.Apply(test.page), cmpopts.EquateEmpty()); diff != "" {
				t.Errorf("update (-want +got):\n%s", diff)
			}
			page, err := c.Read(t.Context())
			if diff := gocmp.Diff(test.records, sorted(page).Records); diff != "" || err != nil {
				t.Errorf("records (-want +got):\n%s%v", diff, err)
			}
		})
	}
}

// Guards against a copy that counts as up to date although a change is missing in it: the answer to
// a watch that has missed a change may name a later position.
func TestWatchWithoutChangesProvesNothing(t *testing.T) {
	c := New()
	c.Apply(full(10, record("a", 3)))
	c.Apply(changes(30))
	if got := c.Position(); got != (tamarackrun.Position{Revision: 10}) {
		t.Errorf("position %v, want 10", got)
	}
	if got := c.Apply(changes(31, record("b", 20))); !got.Changed {
		t.Error("the missed change is ignored")
	}
}

// Guards against changes that a watch misses or gets twice.
func TestWatchReturnsChangesAfterRevision(t *testing.T) {
	c := New()
	c.Apply(full(10, record("a", 3)))
	c.Apply(changes(12, record("b", 12)))
	c.Apply(changes(15, removal("a", 14), record("c", 15)))
	tests := map[string]struct {
		after int64
		want  tamarackrun.Page
	}{
		"all changes":                  {10, changes(15, removal("a", 14), record("b", 12), record("c", 15))},
		"some":                         {12, changes(15, removal("a", 14), record("c", 15))},
		"a revision between two pages": {13, changes(15, removal("a", 14), record("c", 15))},
		"before the known history":     {9, full(15, record("b", 12), record("c", 15))},
		"none":                         {15, changes(15)},
		"a revision that is not known": {20, changes(20)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			page, err := c.Watch(t.Context(), tamarackrun.Position{Revision: test.after}, time.Millisecond)
			if diff := gocmp.Diff(test.want, sorted(page)); diff != "" || err != nil {
				t.Errorf("page (-want +got):\n%s%v", diff, err)
			}
		})
	}
}

// Guards against a watch that returns later than the change, and against a read of a
// collection that was not read yet, which would look empty.
func TestWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New()
		go func() {
			time.Sleep(time.Second)
			c.Apply(changes(4, record("early", 4)))
			c.Apply(full(10, record("a", 3)))
			time.Sleep(time.Second)
			c.Apply(changes(11, record("b", 11)))
		}()
		began := time.Now()
		page, err := c.Read(t.Context())
		if diff := gocmp.Diff(full(10, record("a", 3)), page); diff != "" || err != nil {
			t.Errorf("read (-want +got):\n%s%v", diff, err)
		}
		page, err = c.Watch(t.Context(), tamarackrun.Position{Revision: 10}, time.Minute)
		if diff := gocmp.Diff(changes(11, record("b", 11)), page); diff != "" || err != nil {
			t.Errorf("watch (-want +got):\n%s%v", diff, err)
		}
		if took := time.Since(began); took != 2*time.Second {
			t.Errorf("the change arrived after %s, want 2s", took)
		}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		if _, err := c.Watch(ctx, tamarackrun.Position{Revision: 11}, time.Minute); err == nil {
			t.Error("a watch whose context has ended returns no error")
		}
	})
}

// Guards against a reader that answers with nothing, or with records from before, after the store
// has come back from a copy with lower revisions (CONFIG on hollowmere-run, day restored).
func TestLaterEraReplacesRecords(t *testing.T) {
	c := New()
	c.Apply(full(500, record("a", 490), record("b", 500)))
	inEra := func(era int64, page tamarackrun.Page) tamarackrun.Page {
		page.Position.Era = era
		for i := range page.Records {
			page.Records[i].Position.Era = era
		}
		return page
	}
	c.Apply(inEra(1, changes(510, record("c", 510))))
	restored := inEra(1, full(40, record("a", 30)))
	c.Apply(restored)
	c.Apply(full(600, record("b", 600)))
	for _, after := range []tamarackrun.Position{{Revision: 500}, {Revision: 10}} {
		page, err := c.Watch(t.Context(), after, time.Millisecond)
		if diff := gocmp.Diff(restored, sorted(page)); diff != "" || err != nil {
			t.Errorf("watch from %v (-want +got):\n%s%v", after, diff, err)
		}
	}
	c.Apply(inEra(1, changes(41, record("d", 41))))
	page, err := c.Watch(t.Context(), tamarackrun.Position{Era: 1, Revision: 40}, time.Millisecond)
	if diff := gocmp.Diff(inEra(1, changes(41, record("d", 41))), page); diff != "" || err != nil {
		t.Errorf("watch in the later era (-want +got):\n%s%v", diff, err)
	}
}
