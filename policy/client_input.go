package policy

import "time"

// maxUnseenInput is how long input of a client may have waited unread when an attempt of its request begins.
// The input may be the end of the connection or the withdrawal of the request, and the operators' terms allow
// no attempt that begins more than 0.1 s after these. The rest of that time is for the way to the worker.
const maxUnseenInput = 50 * time.Millisecond

// maxInputWait is how long an attempt may wait until the input of its client has been read. A client within
// the protocol has no more on its way than some turns read. One that sends more without a pause would keep
// the attempt waiting until the request's deadline, and the worker would seem busy to other requests.
const maxInputWait = 250 * time.Millisecond

// MayAdmit reports whether a request may be admitted if reading has not caught up with its client for
// unreadFor. No attempt of a client that sends without a pause would begin, but while its requests waited for
// that, they would take the place of others.
func MayAdmit(unreadFor time.Duration) bool { return unreadFor <= maxInputWait }

// MayBegin reports whether an attempt may begin if input of its client may have waited unread for unseenFor.
func MayBegin(unseenFor time.Duration) bool { return unseenFor <= maxUnseenInput }

// GiveUpWaiting reports whether an attempt that has waited for the input of its client ends without having
// begun.
func GiveUpWaiting(waited time.Duration) bool { return waited > maxInputWait }
