// Package protocol defines the messages of all external interfaces: users, workers, the cloud and the
// key-value store. It owns their wire names, their encoding and the validation of submissions, so that no
// other package knows a wire name. It sends no messages and makes no scheduling decisions.
//
// Every package with an external interface uses it: admission for users, leader for workers, workerclient,
// cloudclient and kvstore as clients, and simulation for the other side of all of them.
//
// The interfaces fix the wire names. The struct tags of this package map each of them to its usual term:
//
//	interface  on the wire       term
//	users      Uid               id of a job
//	           Lane              class of jobs; service-level objectives apply to classes
//	           Desk              team, which has a guarantee and a limit (quota)
//	           Shape             array ("batch"), gang ("ensemble") or service ("daemon")
//	           Rank              priority
//	           Legs              number of tasks
//	           Bundle, PullGb    container image and its size
//	           Fleets, Hall      allowed machine types, allowed zone
//	           SamePlace         all tasks in one zone
//	           Loaners           spot machines are allowed
//	           SnapshotS, FlushS checkpoint interval, time to save a checkpoint
//	           ExpectedS, DueS   estimated run time, deadline
//	           withdraw          cancel; the status is then "aborted"
//	workers    Host, Fleet, Hall name, type and zone of the machine
//	           Loaners           the machine is a spot machine
//	           Shift             incarnation of the worker, incremented at each lease expiry
//	           Epoch             fencing token of the leader
//	           RecallS           time until the cloud reclaims a spot machine
//	           Legs, Leg, Try    tasks, a task, its attempt
//	           Orders            commands; the verb "kill" stops a task
//	           LeaveS            grace period of a stop, in which a task may save a checkpoint
//	           Dispatcher        leader to which the response redirects a worker
//	cloud      Fleets, Sku       machine types, name of one
//	           LocalGb           size of a machine's image cache
//	           Halls             zones
//	           Booking           idempotency key of a request to scale out
//	           Hosts             names of machines; in a list, the machines
//	           HeldS             age of a machine
//	store      Path, Data        key, value
//	           Stamp             version of a key, the revision of its last change
//	           Ledger            revision of the store
//	           Guards, Writes    conditions and changes of a transaction (compare-and-swap)
//	           Permit            id of a lease
//	           Log               events of a watch
package protocol
