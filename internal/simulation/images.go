package simulation

import (
	"postpoint/internal/clock"
	"postpoint/internal/protocol"
)

// imagePulls holds, by image, when a machine has fetched it. All tasks that need an image wait for the same
// fetch; the machine abandons the fetch when no task waits for it any more, and then begins anew.
type imagePulls map[string]clock.Micros

// fetch returns how long a task that starts now waits for its job's image. The fetches of one image take up
// to a third more or less time on different machines.
func (m *FakeWorker) fetch(j *Job) clock.Micros {
	w := m.d.World
	if j.fetchTime == 0 {
		return w.Between(0, maxFetchTime)
	}
	fetchedAt, known := m.images[j.spec.Image]
	if !known {
		fetchedAt = w.now + w.Between(j.fetchTime*2/3, j.fetchTime*4/3)
		m.images[j.spec.Image] = fetchedAt
	}
	return max(0, fetchedAt-w.now)
}

// abandonFetches abandons the fetches for which no task waits.
func (m *FakeWorker) abandonFetches() {
	if len(m.images) == 0 {
		return
	}
	wanted := map[string]bool{}
	for _, t := range m.tasks {
		if j := m.d.findJob(t.job); j != nil && t.status == protocol.TaskFetching {
			wanted[j.spec.Image] = true
		}
	}
	for image, fetchedAt := range m.images {
		if fetchedAt > m.d.World.now && !wanted[image] {
			delete(m.images, image)
		}
	}
}

// CacheImage puts an image into the machine's cache.
func (m *FakeWorker) CacheImage(image string) { m.images[image] = m.d.World.now }
