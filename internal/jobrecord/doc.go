// Package jobrecord defines the durable record of a job: what the key-value store keeps of it, under
// which keys and in which format, and the same record in memory.
//
// It owns the keys, the stored formats (format.go says which exist and what marks them) and the
// estimates of how large a record may become. It doesn't call the store, takes no decisions about
// jobs and doesn't validate submissions.
//
// Package admission creates records, cancels jobs and shows their state. Package leader
// writes everything else. Package delegation uses TaskSet only.
package jobrecord
