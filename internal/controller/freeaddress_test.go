package controller

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

const (
	lowestTestPort  = 10_000 // well-known services are below
	ephemeralRange  = "/proc/sys/net/ipv4/ip_local_port_range"
	ephemeralByRFC  = 49_152 // where the file does not exist
	portsPerProcess = 97     // so that test processes side by side begin at different ports
)

var portsTried atomic.Int64

// lowestEphemeralPort is the first port that the system gives to connections and to listeners that
// name none.
func lowestEphemeralPort() int {
	text, err := os.ReadFile(ephemeralRange)
	if err != nil {
		return ephemeralByRFC
	}
	var lowest, highest int
	_, err = fmt.Sscan(string(text), &lowest, &highest)
	must(err)
	return lowest
}

// freeAddress is an address that nothing listens on, for a process that is started later. Its port
// is below the ephemeral ports: one of those could be taken by any connection until the process
// listens, which then ends with "address already in use".
func freeAddress() string {
	ports := lowestEphemeralPort() - lowestTestPort
	for range ports {
		offset := int(portsTried.Add(1)) + os.Getpid()*portsPerProcess
		address := fmt.Sprintf("127.0.0.1:%d", lowestTestPort+offset%ports)
		if l, err := net.Listen("tcp4", address); err == nil {
			must(l.Close())
			return address
		}
	}
	panic(fmt.Sprintf("no free port between %d and the ephemeral ports, of which the lowest is %d",
		lowestTestPort, lowestTestPort+ports))
}

// An address for a controller that starts later stays free: the system gives its port to nothing
// else, and no second controller has it.
func TestFreeAddressStaysFree(t *testing.T) {
	lowest := lowestEphemeralPort()
	seen := map[string]bool{}
	for range 64 {
		address := freeAddress()
		if seen[address] {
			t.Errorf("%s is given twice", address)
		}
		seen[address] = true
		resolved, err := net.ResolveTCPAddr("tcp4", address)
		must(err)
		if resolved.Port >= lowest {
			t.Errorf("%s is an ephemeral port; they begin at %d", address, lowest)
		}
	}
}
