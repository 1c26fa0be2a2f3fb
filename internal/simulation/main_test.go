package simulation

import (
	"log/slog"
	"os"
	"testing"
)

// TestMain discards the controllers' logs, unless POSTPOINT_TEST_LOG is set to debug a test.
func TestMain(m *testing.M) {
	handler := slog.DiscardHandler
	if os.Getenv("POSTPOINT_TEST_LOG") != "" {
		handler = slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug})
	}
	slog.SetDefault(slog.New(handler))
	os.Exit(m.Run())
}
