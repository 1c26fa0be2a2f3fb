package zonerecovery

import "testing"

// Diagnose must name the most likely cause of typical evidence, and for an isolated controller its isolation
// instead of the loss of a zone.
func TestDiagnoseNamesMostLikelyCause(t *testing.T) {
	for want, e := range map[Diagnosis]Evidence{
		NoneSilent:          noneSilent,
		PartlySilent:        mostSilent,
		PartitionedOrOff:    allSilent,
		PoweredOff:          {Machines: 10, FailedOrUnlisted: 8},
		HeartbeatsElsewhere: {Machines: 10, OnTimeElsewhere: 9},
		HeartbeatsMissing:   {Machines: 10, Controllers: 1, ControllersReached: 1},
	} {
		if got := Diagnose(e, false); got != want {
			t.Errorf("%+v is diagnosed as %q, want %q", e, got, want)
		}
	}
	if got := Diagnose(allSilent, true); got != ControllerIsolated {
		t.Errorf("an isolated controller diagnoses %q, want %q", got, ControllerIsolated)
	}
}
