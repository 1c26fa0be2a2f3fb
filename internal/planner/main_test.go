package planner

import (
	"testing"

	"postpoint/internal/rapidtest"
)

// TestMain fixes what rapid draws: the verdict is the same every time.
func TestMain(m *testing.M) { rapidtest.Main(m, 3000) }
