package planner

import (
	"testing"

	"postpoint/internal/rapidtest"
)

// TestMain fixes the seed of rapid, so that the result is the same every time.
func TestMain(m *testing.M) { rapidtest.Main(m, 3000) }
