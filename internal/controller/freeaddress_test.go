package controller

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

const (
	lowestTestPort   = 10_000 // well-known services use lower ports
	ephemeralRange   = "/proc/sys/net/ipv4/ip_local_port_range"
	defaultEphemeral = 49_152 // the default without the file
	portsPerProcess  = 97     // so that concurrent test processes begin at different ports
)

var portsTried atomic.Int64

// lowestEphemeralPort returns the first port that the system assigns to connections, and to listeners without
// a port of their own.
func lowestEphemeralPort() int {
	text, err := os.ReadFile(ephemeralRange)
	if err != nil {
		return defaultEphemeral
	}
	var lowest, highest int
	_, err = fmt.Sscan(string(text), &lowest, &highest)
	must(err)
	return lowest
}

// freeAddress returns a loopback address without a listener, for a process that starts later. Its port is
// below the ephemeral ports: the system could assign one of those to any connection before the process
// listens, and the process would then fail with "address already in use".
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

// Guards against "address already in use" when a controller starts later: freeAddress returns no ephemeral
// port, which the system could assign to a connection, and returns no address twice.
func TestFreeAddressStaysFree(t *testing.T) {
	lowest := lowestEphemeralPort()
	seen := map[string]bool{}
	for range 64 {
		address := freeAddress()
		if seen[address] {
			t.Errorf("freeAddress returned %s twice", address)
		}
		seen[address] = true
		resolved, err := net.ResolveTCPAddr("tcp4", address)
		must(err)
		if resolved.Port >= lowest {
			t.Errorf("%s is an ephemeral port; they begin at %d", address, lowest)
		}
	}
}
