package simulation

import (
	"log/slog"
	"os"
	"testing"
)

// TestMain keeps the controllers' own logs out of the results; POSTPOINT_TEST_LOG
// shows them for the one test that is being looked at.
func TestMain(m *testing.M) {
	handler := slog.DiscardHandler
	if os.Getenv("POSTPOINT_TEST_LOG") != "" {
		handler = slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug})
	}
	slog.SetDefault(slog.New(handler))
	os.Exit(m.Run())
}
