package admission

import (
	"encoding/binary"
	"errors"

	"postpoint/internal/ordered"
)

// ZoneReports tells the leader from which zones a controller receives heartbeats. Machines that can't reach
// the leader try the other controllers one after another.
type ZoneReports struct {
	Node string
	// Machines counts the machines that sent a heartbeat in the last few seconds, by zone.
	Machines map[string]int
}

// ErrMalformedZoneReports means that zone reports can't be decoded.
var ErrMalformedZoneReports = errors.New("malformed zone reports")

// machinesBytes is the size of a count of machines in the binary form.
const machinesBytes = 4

// Encode returns the binary form. Numbers are big endian; sizes of fields are in bytes:
//
//	length of the controller's name (1), name, and for each zone: length (1), name, machines (4)
func (z ZoneReports) Encode() []byte {
	b := appendName(nil, z.Node)
	for zone, machines := range ordered.ByKey(z.Machines) {
		b = appendName(b, zone)
		b = binary.BigEndian.AppendUint32(b, uint32(machines))
	}
	return b
}

// DecodeZoneReports decodes the binary form. Its only error is ErrMalformedZoneReports.
func DecodeZoneReports(b []byte) (ZoneReports, error) {
	z := ZoneReports{Machines: map[string]int{}}
	controller, b, ok := cutName(b)
	if !ok {
		return z, ErrMalformedZoneReports
	}
	z.Node = controller
	for len(b) > 0 {
		zone, rest, ok := cutName(b)
		if !ok || len(rest) < machinesBytes {
			return z, ErrMalformedZoneReports
		}
		z.Machines[zone] = int(binary.BigEndian.Uint32(rest))
		b = rest[machinesBytes:]
	}
	return z, nil
}

// appendName appends a name with a length prefix of one byte.
func appendName(b []byte, name string) []byte {
	return append(append(b, byte(len(name))), name...)
}

// cutName decodes a name with a length prefix of one byte.
func cutName(b []byte) (name string, rest []byte, ok bool) {
	if len(b) < 1 || len(b) < 1+int(b[0]) {
		return "", nil, false
	}
	end := 1 + int(b[0])
	return string(b[1:end]), b[end:], true
}

// DecodeAllZoneReports decodes the responses of controllers and skips failures and malformed responses.
func DecodeAllZoneReports(responses []Response) []ZoneReports {
	var reports []ZoneReports
	for _, response := range responses {
		if z, err := DecodeZoneReports(response.Body); err == nil && response.OK() {
			reports = append(reports, z)
		}
	}
	return reports
}
