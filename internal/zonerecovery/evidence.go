package zonerecovery

// Evidence is what the leader knows of a zone at one moment.
type Evidence struct {
	// Machines counts those that are up or should be, Heard those of them whose heartbeats arrive.
	Machines, Heard int
	// ProbesAnswered counts silent machines that have answered a direct question lately.
	ProbesAnswered int
	// Gone counts machines that the cloud lists as failed or no longer lists.
	Gone int
	// Controllers counts those of the zone, ControllersReached those of them that answer this one.
	Controllers, ControllersReached int
	// HeardElsewhere counts machines whose heartbeats other controllers get.
	HeardElsewhere int
}

// silentShare returns the share of the zone's machines that are silent.
func (e Evidence) silentShare() float64 {
	if e.Machines == 0 {
		return 0
	}
	return float64(e.Machines-e.Heard) / float64(e.Machines)
}

// Diagnosis says what the matter with a zone most likely is. It is shown to people and changes no
// decision: a task is free to run elsewhere only on proof that it has ended.
type Diagnosis string

// The diagnoses. Their texts are shown in the overview.
const (
	AllHeard Diagnosis = "well"
	// ControllerIsolated zones can't be judged: this controller hears nothing from anywhere.
	ControllerIsolated Diagnosis = "this controller hears nothing"
	PartlySilent       Diagnosis = "a part of it is silent"
	// PoweredOff zones have lost their machines, as the cloud says.
	PoweredOff Diagnosis = "it is dark"
	// PartitionedOrOff zones have silent controllers as well; their machines may go on inside.
	PartitionedOrOff Diagnosis = "dark, or cut off with its workers going on inside"
	// HeartbeatsMissing zones can be reached, but their machines' heartbeats don't arrive.
	HeartbeatsMissing Diagnosis = "its machines are silent, not all of it is out of reach"
	HeardElsewhere    Diagnosis = "other controllers hear it"
)

// Diagnose names what the evidence looks like. isolated says that this controller hears from no
// other zone either.
func Diagnose(e Evidence, isolated bool) Diagnosis {
	silent := e.Machines - e.Heard
	switch {
	case silent == 0:
		return AllHeard
	case isolated:
		return ControllerIsolated
	case e.Heard > 0:
		return PartlySilent
	case e.HeardElsewhere > 0:
		return HeardElsewhere
	case e.ControllersReached > 0 || e.ProbesAnswered > 0:
		return HeartbeatsMissing
	case 2*e.Gone >= silent: // at least half of them
		return PoweredOff
	}
	return PartitionedOrOff
}
