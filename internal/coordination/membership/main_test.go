package membership

import (
	"testing"

	"tamarackrun/internal/standin/property"
)

func TestMain(m *testing.M) { property.Main(m) }
