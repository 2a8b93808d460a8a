package leadership

import "time"

// LastSuccess returns when the last transaction that was applied was first sent.
func (r *Term) LastSuccess() time.Time { return r.sent.Load().Time() }
