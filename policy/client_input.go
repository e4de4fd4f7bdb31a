package policy

import "time"

// maxUnseenInput is how long input of a client may have waited unread when an attempt of its request begins.
// The input may be the end of the connection or the withdrawal of the request, and the operators' terms allow
// no attempt that begins more than 0.1 s after these. The rest of that time is for the way to the worker.
const maxUnseenInput = 50 * time.Millisecond

// MayBegin reports whether an attempt may begin if input of its client may have waited unread for unseenFor.
func MayBegin(unseenFor time.Duration) bool { return unseenFor <= maxUnseenInput }
