package simulation

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"postpoint/internal/jobrecord"
	"postpoint/internal/protocol"
)

// checkFormat checks that controllers store only the first format until all of them have published that they
// can read the next format.
func (d *Deployment) checkFormat(key string, value []byte) {
	if _, open := d.Store.entries["rollout/gate"]; open {
		return
	}
	if strings.HasPrefix(key, jobrecord.ShardsPrefix) {
		d.World.ReportViolation(unreadableFormat, "%s", key)
	}
	if strings.HasPrefix(key, jobrecord.Prefix) {
		if err := readFirstFormat(value); err != nil {
			d.World.ReportViolation(unreadableFormat, "%s: %v", key, err)
		}
	}
}

// firstFormat holds the fields that the first version reads from a record.
type firstFormat struct {
	Spec struct {
		Shape string
		Legs  int
	} `msgpack:"spec"`
	Status string   `msgpack:"status"`
	Done   string   `msgpack:"done"`
	Placed []string `msgpack:"placed"`
}

// placementFields is the number of fields of a placement in the first format.
const placementFields = 4

// readFirstFormat reads a record as strictly as the first version does.
func readFirstFormat(value []byte) error {
	var r firstFormat
	if err := msgpack.Unmarshal(value, &r); err != nil {
		return err
	}
	if r.Spec.Shape == protocol.ShapeService {
		return errors.New("a service, which the first version reads as an array")
	}
	for _, text := range r.Placed {
		fields := strings.Fields(text)
		if len(fields) != placementFields {
			return fmt.Errorf("placement %q", text)
		}
		for _, number := range fields[1:3] {
			if _, err := strconv.ParseInt(number, 10, 64); err != nil {
				return err
			}
		}
	}
	return nil
}
