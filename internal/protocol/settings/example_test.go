package settings

import "testing"

// The commented example must stay valid, since operators copy it.
func TestExampleFile(t *testing.T) {
	if _, err := Load("../../../deployments/instance.ini"); err != nil {
		t.Error(err)
	}
}
