package protocol

import "strconv"

// The limits of messages count sizes as JSON. These are the entries of lists, as JSON, without their tasks
// and numbers.
const (
	commandJSON      = `{"Verb":"forget","Leg":"","Try":,"LeaveS":},`
	statusJSON       = `{"Leg":"","Try":,"Status":"fetching"},`
	exitedStatusJSON = `{"Leg":"","Try":,"Status":"exited","Cause":"no_room","Saved":false},`
	// maxAttemptDigits is the length of all but extremely high attempt numbers.
	maxAttemptDigits = 3
)

const (
	// maxMessageHeadBytes is more than a message takes besides its list of commands or tasks.
	maxMessageHeadBytes = 1 << 10
	// MaxCommandListBytes is the largest list of commands in one message. It leaves room for JSON with
	// spaces.
	MaxCommandListBytes = 48 << 10
	// MaxStopBytes is more than the stop of any task takes in a list of commands.
	MaxStopBytes = 256
	// MaxStatusListBytes is the largest list of tasks in a heartbeat.
	MaxStatusListBytes = MaxBodyBytes - maxMessageHeadBytes
)

// JSONBytes returns the size of the command in a list as JSON, or somewhat more.
func (c *Command) JSONBytes() int {
	grace := len(strconv.FormatFloat(c.GraceS, 'f', -1, 64))
	return len(commandJSON) + len(c.Task) + decimalDigits(int(c.Attempt)) + grace
}

// StatusBytes returns the size, as JSON, that each task of a job takes in a heartbeat's list until it
// exits, or somewhat more.
func (s *JobSpec) StatusBytes() int {
	taskName := len(s.ID) + len("/") + decimalDigits(s.Tasks)
	return len(statusJSON) + taskName + maxAttemptDigits
}

// ListedBytes returns the size, as JSON, that the status takes in a heartbeat's list, or somewhat more.
func (t *TaskStatus) ListedBytes() int {
	form := statusJSON
	if t.Status == TaskExited {
		form = exitedStatusJSON
	}
	return len(form) + len(t.Task) + maxAttemptDigits
}

// decimalDigits returns the length of a number that isn't negative as decimal digits.
func decimalDigits(n int) int {
	digits := 1
	for ; n >= 10; n /= 10 {
		digits++
	}
	return digits
}
