package settings

import "testing"

// Guards against a change that makes the commented example file invalid, which operators
// copy.
func TestExampleFileIsValid(t *testing.T) {
	if _, err := Load("../../../deployments/instance.ini"); err != nil {
		t.Error(err)
	}
}
