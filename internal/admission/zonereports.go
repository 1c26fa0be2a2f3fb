package admission

import (
	"encoding/binary"
	"errors"

	"postpoint/internal/ordered"
)

// ZoneReports says to the leader from which zones' machines a node receives heartbeats: machines
// that can't reach the leader try the other nodes in turn.
type ZoneReports struct {
	Node string
	// Machines counts those heard from in the last few seconds, by zone.
	Machines map[string]int
}

// ErrZoneReports are zone reports that can't be read.
var ErrZoneReports = errors.New("malformed zone reports")

// machinesBytes is the size of a number of machines in the binary form.
const machinesBytes = 4

// Encode returns the binary form, big endian:
//
//	length of the node's name (1), name, and for each zone: length (1), name, machines (4)
func (z ZoneReports) Encode() []byte {
	b := appendName(nil, z.Node)
	for zone, machines := range ordered.ByKey(z.Machines) {
		b = appendName(b, zone)
		b = binary.BigEndian.AppendUint32(b, uint32(machines))
	}
	return b
}

// DecodeZoneReports reads the binary form. Its error is ErrZoneReports.
func DecodeZoneReports(b []byte) (ZoneReports, error) {
	z := ZoneReports{Machines: map[string]int{}}
	node, b, ok := cutName(b)
	if !ok {
		return z, ErrZoneReports
	}
	z.Node = node
	for len(b) > 0 {
		zone, rest, ok := cutName(b)
		if !ok || len(rest) < machinesBytes {
			return z, ErrZoneReports
		}
		z.Machines[zone] = int(binary.BigEndian.Uint32(rest))
		b = rest[machinesBytes:]
	}
	return z, nil
}

// appendName appends a name behind its length of one byte.
func appendName(b []byte, name string) []byte {
	return append(append(b, byte(len(name))), name...)
}

// cutName reads a name behind its length of one byte.
func cutName(b []byte) (name string, rest []byte, ok bool) {
	if len(b) < 1 || len(b) < 1+int(b[0]) {
		return "", nil, false
	}
	end := 1 + int(b[0])
	return string(b[1:end]), b[end:], true
}

// DecodeAllZoneReports reads the answers of nodes; those that say something else are left out.
func DecodeAllZoneReports(answers []Response) []ZoneReports {
	var all []ZoneReports
	for _, answer := range answers {
		if z, err := DecodeZoneReports(answer.Body); err == nil && answer.OK() {
			all = append(all, z)
		}
	}
	return all
}
