package zonerecovery

// Evidence is what the leader knows about a zone at one moment.
type Evidence struct {
	// Machines counts the zone's machines that should be sending heartbeats. OnTime counts those whose
	// heartbeats reach this controller.
	Machines, OnTime int
	// ProbeResponses counts silent machines that have recently responded to a probe.
	ProbeResponses int
	// FailedOrUnlisted counts silent machines that the cloud lists as failed or no longer lists.
	FailedOrUnlisted int
	// Controllers counts the controllers in the zone. ControllersReached counts those that respond to this
	// controller.
	Controllers, ControllersReached int
	// OnTimeElsewhere counts machines whose heartbeats reach other controllers.
	OnTimeElsewhere int
}

// silentShare returns the share of the zone's machines that are silent.
func (e Evidence) silentShare() float64 {
	if e.Machines == 0 {
		return 0
	}
	return float64(e.Machines-e.OnTime) / float64(e.Machines)
}

// Diagnosis is the most likely cause of a zone's state. It is only shown to operators and influences no
// decision: a task may start in another zone only after proof that it has ended.
type Diagnosis string

// The diagnoses. The overview shows their texts.
const (
	// NoneSilent means that heartbeats arrive from all machines of the zone.
	NoneSilent Diagnosis = "well"
	// ControllerIsolated means that this controller can't judge the zone, because most machines of the
	// other zones are silent too.
	ControllerIsolated Diagnosis = "this controller hears nothing"
	// PartlySilent means that heartbeats arrive from some of the machines, but not from all.
	PartlySilent Diagnosis = "a part of it is silent"
	// PoweredOff means that the cloud lists at least half of the silent machines as failed, or no longer
	// lists them.
	PoweredOff Diagnosis = "it is dark"
	// PartitionedOrOff means that the zone's controllers don't respond either. Behind a network partition,
	// the machines may still be running their tasks.
	PartitionedOrOff Diagnosis = "dark, or cut off with its workers going on inside"
	// HeartbeatsMissing means that a controller or a machine of the zone responds, but that no heartbeats of
	// its machines arrive.
	HeartbeatsMissing Diagnosis = "its machines are silent, not all of it is out of reach"
	// HeartbeatsElsewhere means that the machines' heartbeats reach only other controllers.
	HeartbeatsElsewhere Diagnosis = "other controllers hear it"
)

// Diagnose returns the diagnosis that fits the evidence. isolated means that most machines of the other
// zones are silent too, so that this controller may be the one that is cut off.
func Diagnose(e Evidence, isolated bool) Diagnosis {
	silent := e.Machines - e.OnTime
	switch {
	case silent == 0:
		return NoneSilent
	case isolated:
		return ControllerIsolated
	case e.OnTime > 0:
		return PartlySilent
	case e.OnTimeElsewhere > 0:
		return HeartbeatsElsewhere
	case e.ControllersReached > 0 || e.ProbeResponses > 0:
		return HeartbeatsMissing
	case 2*e.FailedOrUnlisted >= silent: // at least half of the silent machines
		return PoweredOff
	}
	return PartitionedOrOff
}
