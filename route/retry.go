package route

import (
	"errors"
	"time"

	"chutereach/config"
)

// mayRetry reports whether a request that failed with err can safely be sent again and
// may succeed.
func mayRetry(req *Request, err error) bool {
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		return notRun.Cause == CauseUpstreamUnreachable || notRun.Cause == CausePeerUnreachable
	}
	return req.Route.Safety == config.SafeRepeat && time.Now().Before(req.Deadline)
}

func (r *Router) addRetryTokens() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retryTokens = min(r.retryTokens+retryTokensPerRequest, maxRetryTokens)
}

func (r *Router) takeRetryToken() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.retryTokens < 1 {
		return false
	}
	r.retryTokens--
	return true
}
