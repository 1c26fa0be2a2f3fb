// Package settings defines the platform's settings file and validates its fields against each other. Package
// configfile decodes the file and validates single fields by the struct tags below. The operators' own files
// (packages cells and zonerecovery) are validated against these settings by their own packages. Package main
// loads the file; all other packages receive the result and don't modify it.
package settings

import (
	"postpoint/internal/clock"
)

// Settings are the contents of the file. Fields whose names end in S are in seconds. A Domain is the zone of
// a controller.
type Settings struct {
	Node         string     `json:"node" validate:"required,max=100"`
	Domain       string     `json:"domain" validate:"required,max=100"`
	Bind         string     `json:"bind" validate:"required,ipv4port"`
	InternalAddr string     `json:"internal_addr" validate:"required,ipv4port"`
	Peers        []Peer     `json:"known" validate:"dive"`
	Endpoints    Endpoints  `json:"outside"`
	Deployment   Deployment `json:"deployment"`
}

// Peer is another controller of the deployment.
type Peer struct {
	Node     string `json:"node" validate:"required"`
	Domain   string `json:"domain"`
	PeerAddr string `json:"peer_addr" validate:"required,ipv4port"`
}

// Endpoints has the addresses of the external systems that controllers call.
type Endpoints struct {
	Cloud   string `json:"cloud" validate:"required,ipv4port"`
	KVStore string `json:"state" validate:"required,ipv4port"`
}

// Deployment has the settings that all controllers of a deployment share. ClockErrorMs is the largest error
// of a controller's time of day.
type Deployment struct {
	InitialSize   int           `json:"initial_size" validate:"gte=1"`
	Zones         []string      `json:"zones"`
	Teams         []Team        `json:"teams" validate:"required,min=1,dive"`
	Objectives    []Objective   `json:"objectives" validate:"dive"`
	Workers       Workers       `json:"workers"`
	KVStore       KVStore       `json:"state"`
	Cloud         Cloud         `json:"cloud"`
	MachineLimits MachineLimits `json:"machine_limits"`
	ClockErrorMs  float64       `json:"clock_error_ms" validate:"gte=0"`
}

// Team has the guarantee (fair share) and the limit (quota, the fields with Max) of a team; 0 means none.
type Team struct {
	Name    string  `json:"name" validate:"required"`
	Cpus    float64 `json:"cpus" validate:"gte=0"`
	CpusMax float64 `json:"cpus_max" validate:"gte=0"`
	Gpus    float64 `json:"gpus" validate:"gte=0"`
	GpusMax float64 `json:"gpus_max" validate:"gte=0"`
}

// Objective is a service-level objective for a class of jobs. Package leader/objectives defines the
// kinds.
type Objective struct {
	Kind    string  `json:"kind" validate:"required"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s" validate:"gte=0"`
	Share   float64 `json:"share"`
	// DeadlineFactor multiplies the deadline of a job, for objectives of kind "deadline".
	DeadlineFactor float64 `json:"times" validate:"gte=0"`
}

// Workers has the intervals and timeouts of workers and their tasks. CancelS is the time after the
// confirmation of a cancellation within which all tasks of the job end.
type Workers struct {
	HeartbeatS       float64 `json:"report_s" validate:"gt=0"`
	LeaseS           float64 `json:"lease_s" validate:"gt=0"`
	GangWaitS        float64 `json:"gang_wait_s" validate:"gt=0"`
	GangPeerTimeoutS float64 `json:"gang_peer_s" validate:"gt=0"`
	CancelS          float64 `json:"cancel_s" validate:"gtfield=LeaseS"`
}

// KVStore has the limits of the key-value store, which apply to all controllers together.
type KVStore struct {
	Rps      float64 `json:"rps" validate:"gt=0"`
	WriteRps float64 `json:"write_rps" validate:"gt=0"`
	ValueKb  float64 `json:"value_kb" validate:"gte=2"`
	TxnOps   int     `json:"txn_ops" validate:"gte=1"`
	// Next has announced limits: the store may switch to them at any time, without notice.
	Next *NextKVStore `json:"next"`
}

// NextKVStore has the announced limits of the store. Limits that are nil don't change.
type NextKVStore struct {
	Rps      *float64 `json:"rps" validate:"omitnil,gt=0"`
	WriteRps *float64 `json:"write_rps" validate:"omitnil,gt=0"`
	ValueKb  *float64 `json:"value_kb" validate:"omitnil,gte=2"`
	TxnOps   *int     `json:"txn_ops" validate:"omitnil,gte=1"`
}

// Cloud has the request limit of the cloud's interface and the delay of its list of machines.
type Cloud struct {
	Rps      float64 `json:"rps" validate:"gt=0"`
	ListLagS float64 `json:"list_lag_s" validate:"gte=0"`
}

// MachineLimits has the limits of the machine on which a controller runs.
type MachineLimits struct {
	CPU        float64 `json:"cpu" validate:"gt=0"`
	MemoryMb   float64 `json:"memory_mb" validate:"gt=0"`
	MaxSockets int     `json:"max_sockets" validate:"gt=0"`
}

// Nodes returns the names of all controllers of the deployment, beginning with this one.
func (s *Settings) Nodes() []string {
	names := []string{s.Node}
	for _, peer := range s.Peers {
		names = append(names, peer.Node)
	}
	return names
}

// Team returns the team with a name, or false if there is none.
func (d *Deployment) Team(name string) (Team, bool) {
	for _, team := range d.Teams {
		if team.Name == name {
			return team, true
		}
	}
	return Team{}, false
}

// Lease returns how long a worker keeps its tasks after the last heartbeat with a response.
func (w Workers) Lease() clock.Micros { return clock.FromSeconds(w.LeaseS) }

// HeartbeatInterval returns the mean interval between the heartbeats of a worker.
func (w Workers) HeartbeatInterval() clock.Micros { return clock.FromSeconds(w.HeartbeatS) }

// GangPeerTimeout returns the time within which the tasks of a gang notice the loss of one of them.
func (w Workers) GangPeerTimeout() clock.Micros { return clock.FromSeconds(w.GangPeerTimeoutS) }

// renewalMargin covers clock drift and responses in transit.
const renewalMargin = clock.Second

// RenewalWindow returns how long a leader may continue to renew workers' leases after the time up to which it
// knows all cancellations. If another controller confirms a cancellation right after that time, every
// worker's lease still expires within cancel_s. See docs/rules.md.
func (w Workers) RenewalWindow() clock.Micros {
	return clock.FromSeconds(w.CancelS-w.LeaseS) - renewalMargin
}

// bytesPerKb is the unit of value_kb.
const bytesPerKb = 1024

// ValueBytes returns the largest size of a stored value, in bytes of its JSON form.
func (s KVStore) ValueBytes() int { return int(s.ValueKb * bytesPerKb) }

// Tightest returns limits that are safe whether or not the announced ones are in force already.
func (s KVStore) Tightest() KVStore {
	next := s.Next
	s.Next = nil
	if next == nil {
		return s
	}
	s.Rps = tighterLimit(s.Rps, next.Rps)
	s.WriteRps = tighterLimit(s.WriteRps, next.WriteRps)
	s.ValueKb = tighterLimit(s.ValueKb, next.ValueKb)
	s.TxnOps = tighterLimit(s.TxnOps, next.TxnOps)
	return s
}

// tighterLimit returns the smaller of a current and an announced limit.
func tighterLimit[T int | float64](current T, announced *T) T {
	if announced == nil {
		return current
	}
	return min(current, *announced)
}
