package machinetable

import (
	"slices"

	"postpoint/internal/clock"
	"postpoint/internal/planner"
	"postpoint/internal/protocol"
)

// PlannerView is the machine as the planner's input describes it. Package snapshots rebuilds it
// when ViewStale is set, and every change of its inputs sets ViewStale.
type PlannerView struct {
	View      planner.Machine
	ViewStale bool
	// Unrecognized reports that the machine runs a task of unknown size.
	Unrecognized bool
	// Images is the estimated image cache, the most recently used image first.
	Images []image
	// PullGB is the amount of images that the machine still had to fetch at pulledAt.
	PullGB   float64
	pulledAt clock.Micros
}

// image is a container image that is likely to be in the machine's cache.
type image struct {
	Name   string
	sizeGB float64
}

// HasImage reports whether an image is likely to be in the machine's cache.
func (v *PlannerView) HasImage(name string) bool {
	return slices.ContainsFunc(v.Images, func(i image) bool { return i.Name == name })
}

// addCachedImage moves an image to the front of the estimated cache, which holds the most recently used
// images up to the cache's size.
func (v *PlannerView) addCachedImage(name string, sizeGB, cacheGB float64) {
	images := []image{{name, sizeGB}}
	used := sizeGB
	for _, i := range v.Images {
		if i.Name != name && used+i.sizeGB <= cacheGB {
			used += i.sizeGB
			images = append(images, i)
		}
	}
	v.Images = images
	v.ViewStale = true
}

// AdvancePulls subtracts from PullGB the amount that the machine has fetched since the last call.
func (v *PlannerView) AdvancePulls(now clock.Micros, t protocol.MachineType) {
	if len(v.View.PullingImages) == 0 {
		v.PullGB = 0
	}
	v.PullGB = max(0, v.PullGB-(now-v.pulledAt).Seconds()*t.FetchGBPerS)
	v.pulledAt = now
}
