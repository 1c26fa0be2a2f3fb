package protocol

// MachineType is one entry of the cloud's catalogue. Prices are per hour.
type MachineType struct {
	Name        string   `msgpack:"Sku"`
	Cpus        float64  `msgpack:"Vcpus"`
	Gpus        float64  `msgpack:"Gpus"`
	MemoryGB    float64  `msgpack:"MemGb"`
	CacheGB     float64  `msgpack:"LocalGb"` // image cache of the machine
	FetchGBPerS float64  `msgpack:"FetchGbPerS"`
	Price       float64  `msgpack:"Hourly"`
	SpotPrice   float64  `msgpack:"SpotPrice"`
	BootS       float64  `msgpack:"StartupS"`
	Zones       []string `msgpack:"Halls"`
}

// Catalogue lists the machine types that the cloud offers.
type Catalogue struct {
	MachineTypes []MachineType `msgpack:"Fleets"`
}

// ScaleOutRequest is a request to scale out by machines of one capacity pool.
type ScaleOutRequest struct {
	// IdempotencyKey identifies the request: the cloud starts no further machines for a repeated key.
	IdempotencyKey string `msgpack:"Booking"`
	Type           string `msgpack:"Fleet"`
	Zone           string `msgpack:"Hall"`
	Spot           bool   `msgpack:"Loaners"`
	Count          int    `msgpack:"HowMany"`
}

// ScaleOutResponse names the machines that the cloud starts, or the error if it starts none.
type ScaleOutResponse struct {
	Machines []MachineName `msgpack:"Hosts"`
	Error    string        `msgpack:"error"`
}

// NoCapacity is the error of a scale-out response if the cloud has no machine in the capacity pool. Other
// errors are outages.
const NoCapacity = "no capacity"

// ScaleInRequest is a request to release the named machines.
type ScaleInRequest struct {
	Machines []MachineName `msgpack:"Hosts"`
}

// States of a machine in the cloud's list.
const (
	MachineStarting = "starting"
	MachineRunning  = "running"
	MachineFailed   = "failed"
)

// ListedMachine is one entry of the cloud's list of machines.
type ListedMachine struct {
	Name    MachineName `msgpack:"Uid"`
	Address string      `msgpack:"Address"`
	Type    string      `msgpack:"Fleet"`
	Zone    string      `msgpack:"Hall"`
	Spot    bool        `msgpack:"Loaners"`
	Status  string      `msgpack:"Status"`
	AgeS    float64     `msgpack:"HeldS"`
}

// MachineList is one page of the cloud's list of machines.
type MachineList struct {
	Machines []ListedMachine `msgpack:"Hosts"`
	More     bool            `msgpack:"HasNext"`
}
