// Package jobrecord defines the durable record of a job: its keys and format in the key-value store,
// and its form in memory.
//
// It owns the keys, the stored formats (format.go lists them and their markers) and the estimates of
// how large a record can become. It doesn't call the store, makes no scheduling decisions and doesn't
// validate submissions.
//
// Package admission creates records, cancels jobs and returns their status. Package leader makes all
// other changes. Package delegation uses only TaskSet.
package jobrecord
