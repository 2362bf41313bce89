package front

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"tamarackrun/internal/state/configuration"
)

// Guards against a wrong part of the demand that counts as bound to a region: requests above an
// organisation's limit are refused and need no server.
func TestConfinedFractions(t *testing.T) {
	regions := map[string]string{"a-1": "a", "a-2": "a", "b-1": "b", "c-1": "c"}
	c := &configuration.Snapshot{Organisations: map[string]configuration.Organisation{
		"one":      {Name: "one", Rate: 20, Regions: []string{"a"}},
		"two":      {Name: "two", Regions: []string{"a", "b"}},
		"all":      {Name: "all", Regions: []string{"a", "b", "c"}},
		"anywhere": {Name: "anywhere"},
	}}
	demands := map[string]float64{"one": 500, "two": 40, "all": 70, "anywhere": 70}
	got := confinedFractions(c, regions, func(organisation string) float64 { return demands[organisation] })
	want := map[string]float64{"a": 0.2, "b": 0.1, "c": 0}
	if diff := cmp.Diff(want, got, cmpopts.EquateApprox(0, 1e-9)); diff != "" {
		t.Errorf("confined fractions (-want +got):\n%s", diff)
	}
	if got := confinedFractions(c, regions, func(string) float64 { return 1 }); got != nil {
		t.Errorf("fractions %v of a demand of 4 requests per second, want none", got)
	}
}
