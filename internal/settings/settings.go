// Package settings has the platform's settings file: what it contains, and the checks of fields
// against each other. It owns neither decoding nor the checks of single fields, which internal/configfile
// does by the tags below, nor the operators' own files (internal/cells, internal/zonerecovery), which
// are checked against these settings. The command reads the file; everything else is handed the
// result and changes nothing in it.
package settings

import (
	"postpoint/internal/clock"
)

// Settings are the file's contents. Fields that end in S are seconds.
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

// Endpoints has the addresses of the systems that controllers use.
type Endpoints struct {
	Cloud   string `json:"cloud" validate:"required,ipv4port"`
	KVStore string `json:"state" validate:"required,ipv4port"`
}

// Deployment is what all controllers of a deployment have in common.
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

// Team holds a team's guarantee (its fair share) and limit (its quota); 0 means none.
type Team struct {
	Name    string  `json:"name" validate:"required"`
	Cpus    float64 `json:"cpus" validate:"gte=0"`
	CpusMax float64 `json:"cpus_max" validate:"gte=0"`
	Gpus    float64 `json:"gpus" validate:"gte=0"`
	GpusMax float64 `json:"gpus_max" validate:"gte=0"`
}

// Objective is a service-level objective for a class of jobs.
type Objective struct {
	Kind    string  `json:"kind" validate:"required"`
	Class   string  `json:"class"`
	WithinS float64 `json:"within_s" validate:"gte=0"`
	Share   float64 `json:"share"`
	// Times stretches the deadline that an objective of kind "deadline" is about.
	Times float64 `json:"times" validate:"gte=0"`
}

// Workers has the times by which machines and their tasks are run.
type Workers struct {
	HeartbeatS float64 `json:"report_s" validate:"gt=0"`
	LeaseS     float64 `json:"lease_s" validate:"gt=0"`
	GangWaitS  float64 `json:"gang_wait_s" validate:"gt=0"`
	GangPeerS  float64 `json:"gang_peer_s" validate:"gt=0"`
	CancelS    float64 `json:"cancel_s" validate:"gtfield=LeaseS"`
}

// KVStore has the limits of the key-value store, shared by all controllers.
type KVStore struct {
	Rps      float64 `json:"rps" validate:"gt=0"`
	WriteRps float64 `json:"write_rps" validate:"gt=0"`
	ValueKb  float64 `json:"value_kb" validate:"gte=2"`
	TxnOps   int     `json:"txn_ops" validate:"gte=1"`
	// Next are limits that the service may change to at any time, without notice.
	Next *NextKVStore `json:"next"`
}

// NextKVStore has the announced limits; what it leaves out does not change.
type NextKVStore struct {
	Rps      *float64 `json:"rps" validate:"omitnil,gt=0"`
	WriteRps *float64 `json:"write_rps" validate:"omitnil,gt=0"`
	ValueKb  *float64 `json:"value_kb" validate:"omitnil,gte=2"`
	TxnOps   *int     `json:"txn_ops" validate:"omitnil,gte=1"`
}

// Cloud has the limits of the cloud's interface.
type Cloud struct {
	Rps      float64 `json:"rps" validate:"gt=0"`
	ListLagS float64 `json:"list_lag_s" validate:"gte=0"`
}

// MachineLimits are those of the machine that a controller runs on.
type MachineLimits struct {
	CPU        float64 `json:"cpu" validate:"gt=0"`
	MemoryMb   float64 `json:"memory_mb" validate:"gt=0"`
	MaxSockets int     `json:"max_sockets" validate:"gt=0"`
}

// Nodes returns the names of all controllers of the deployment, this one's first.
func (s *Settings) Nodes() []string {
	names := []string{s.Node}
	for _, peer := range s.Peers {
		names = append(names, peer.Node)
	}
	return names
}

// Team finds a team by name. The result is false if there is none.
func (d *Deployment) Team(name string) (Team, bool) {
	for _, team := range d.Teams {
		if team.Name == name {
			return team, true
		}
	}
	return Team{}, false
}

// Lease returns how long a worker keeps its tasks after the last heartbeat that was answered.
func (w Workers) Lease() clock.Micros { return clock.FromSeconds(w.LeaseS) }

// HeartbeatInterval returns the mean time between two heartbeats of a worker.
func (w Workers) HeartbeatInterval() clock.Micros { return clock.FromSeconds(w.HeartbeatS) }

// GangPeer returns the time within which the tasks of a gang notice the loss of one of them.
func (w Workers) GangPeer() clock.Micros { return clock.FromSeconds(w.GangPeerS) }

// keepAliveMargin covers the drift of clocks and responses under way.
const keepAliveMargin = clock.Second

// RenewalWindow returns how long a leader may go on answering workers after the moment up to which it
// knows every cancellation: one confirmed elsewhere right then still sees every worker's lease
// expire within cancel_s. See docs/rules.md.
func (w Workers) RenewalWindow() clock.Micros {
	return clock.FromSeconds(w.CancelS-w.LeaseS) - keepAliveMargin
}

// bytesPerKb is what value_kb counts in.
const bytesPerKb = 1024

// ValueBytes returns the largest value that may be stored, in bytes of its JSON form.
func (s KVStore) ValueBytes() int { return int(s.ValueKb * bytesPerKb) }

// Tightest returns the limits that hold whether or not the announced ones have come into force.
func (s KVStore) Tightest() KVStore {
	next := s.Next
	s.Next = nil
	if next == nil {
		return s
	}
	s.Rps = lower(s.Rps, next.Rps)
	s.WriteRps = lower(s.WriteRps, next.WriteRps)
	s.ValueKb = lower(s.ValueKb, next.ValueKb)
	s.TxnOps = lower(s.TxnOps, next.TxnOps)
	return s
}

// lower returns the smaller of a present and an announced limit.
func lower[T int | float64](present T, announced *T) T {
	if announced == nil {
		return present
	}
	return min(present, *announced)
}
