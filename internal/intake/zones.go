package intake

import (
	"encoding/binary"
	"errors"
	"maps"
	"net/http"
	"slices"
)

// ZoneReports is what a node says to the leader of the zones whose machines it hears of: those
// that can't reach the leader try the other nodes in turn.
type ZoneReports struct {
	Node string
	// Machines heard of in the last few seconds, by zone.
	Machines map[string]int
}

var errZoneReports = errors.New("malformed zone reports")

// Encode gives the binary form, big endian:
//
//	length of the node's name (1), name, and for each zone: length (1), zone, machines (4)
func (z ZoneReports) Encode() []byte {
	b := append([]byte{byte(len(z.Node))}, z.Node...)
	for _, zone := range slices.Sorted(maps.Keys(z.Machines)) {
		b = append(append(b, byte(len(zone))), zone...)
		b = binary.BigEndian.AppendUint32(b, uint32(z.Machines[zone]))
	}
	return b
}

// DecodeZoneReports reads the binary form.
func DecodeZoneReports(b []byte) (ZoneReports, error) {
	z := ZoneReports{Machines: map[string]int{}}
	if len(b) < 1 || len(b) < 1+int(b[0]) {
		return z, errZoneReports
	}
	z.Node, b = string(b[1:1+b[0]]), b[1+int(b[0]):]
	for len(b) > 0 {
		n := int(b[0])
		if len(b) < 1+n+4 {
			return z, errZoneReports
		}
		z.Machines[string(b[1:1+n])] = int(binary.BigEndian.Uint32(b[1+n:]))
		b = b[1+n+4:]
	}
	return z, nil
}

// AllZoneReports reads what nodes answered; those that say something else are left out.
func AllZoneReports(answers []Answer) []ZoneReports {
	var all []ZoneReports
	for _, a := range answers {
		if z, err := DecodeZoneReports(a.Body); err == nil && a.Status == http.StatusOK {
			all = append(all, z)
		}
	}
	return all
}
