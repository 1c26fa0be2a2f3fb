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

// checkFormat checks that only the first format is stored until all controllers have published that they
// read the next.
func (d *Deployment) checkFormat(key string, value []byte) {
	if _, open := d.Store.entries["rollout/gate"]; open {
		return
	}
	if strings.HasPrefix(key, jobrecord.ShardsPrefix) {
		d.World.Violate(oldFormat, "%s", key)
	}
	if strings.HasPrefix(key, jobrecord.Prefix) {
		if err := readFirstFormat(value); err != nil {
			d.World.Violate(oldFormat, "%s: %v", key, err)
		}
	}
}

// firstFormat is a record as the first version reads it.
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
		return errors.New("a service, which it takes for an array")
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
