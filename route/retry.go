package route

import (
	"errors"
	"time"

	"chutereach/config"
)

// mayRepeat reports whether a request that failed with err can be sent again
// and may fare better.
func mayRepeat(req *Request, err error) bool {
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		return notRun.Cause == CauseRefused || notRun.Cause == CausePeers
	}
	return req.Route.Safety == config.SafeRepeat && time.Now().Before(req.Deadline)
}

func (r *Router) earn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bank = min(r.bank+retryShare, retryBank)
}

func (r *Router) spend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.bank < 1 {
		return false
	}
	r.bank--
	return true
}
