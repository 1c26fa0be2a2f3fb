package main

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"

	"postpoint/internal/clock"
	"postpoint/internal/simulation"
)

// digestCommand prints a hash for each of several simulated days with random load and faults. Each hash
// covers all messages and stored values of the controllers. A change of the code that keeps the controllers'
// behaviour keeps the hashes.
type digestCommand struct {
	Seeds     uint64 `name:"seeds" help:"How many days of each kind are played." default:"8"`
	FirstSeed uint64 `name:"first-seed" help:"The first day's seed." default:"1"`
	Parallel  int    `name:"parallel" help:"How many days are played at a time." default:"4"`
}

// digest hashes the messages of one simulated day in the order of the calls of Record.
type digest struct {
	hash     hash.Hash
	messages int
}

// newDigest returns a digest without messages.
func newDigest() *digest { return &digest{hash: sha256.New()} }

// Record adds a message.
func (d *digest) Record(at clock.Micros, controller, kind string, content []byte) {
	d.messages++
	d.add(binary.BigEndian.AppendUint64(nil, uint64(at)))
	d.add([]byte(controller))
	d.add([]byte(kind))
	d.add(content)
}

// add hashes the length of a field before the field, so that different sequences of fields never result in
// the same bytes.
func (d *digest) add(field []byte) {
	d.hash.Write(binary.BigEndian.AppendUint32(nil, uint32(len(field))))
	d.hash.Write(field)
}

// digestBytes is the number of bytes of the hash that String returns.
const digestBytes = 16

// String returns the beginning of the hash in hexadecimal digits.
func (d *digest) String() string { return fmt.Sprintf("%x", d.hash.Sum(nil)[:digestBytes]) }

// digestDay simulates a day and returns a line with its digest.
func digestDay(kind simulation.DayKind, seed uint64) string {
	d := newDigest()
	kind.Simulate(seed, d)
	return fmt.Sprintf("%s %d %s messages=%d", kind.Name, seed, d, d.messages)
}

// Run prints a line for each day, in the order of kinds and seeds.
func (c *digestCommand) Run() error {
	slots := make(chan struct{}, max(1, c.Parallel))
	var lines []chan string
	for _, kind := range simulation.DayKinds {
		for seed := c.FirstSeed; seed < c.FirstSeed+c.Seeds; seed++ {
			line := make(chan string, 1)
			lines = append(lines, line)
			go func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				line <- digestDay(kind, seed)
			}()
		}
	}
	for _, line := range lines {
		fmt.Println(<-line)
	}
	return nil
}
