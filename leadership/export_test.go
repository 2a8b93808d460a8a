package leadership

import "time"

// LastSuccess returns when the last applied transaction was first sent.
func (r *Term) LastSuccess() time.Time { return r.lastCommitSent.Load().Time() }
