package api

import (
	"sync/atomic"

	"chutereach/config"
)

// accountIndex finds accounts by the hashes of their tokens. Comparing the token with
// each of hundreds of accounts took longer than the rest of a request.
type accountIndex struct {
	current atomic.Pointer[revisionIndex]
}

// revisionIndex indexes the accounts of one revision.
type revisionIndex struct {
	revision uint64
	byHash   map[string]config.Account
}

// find returns the account to which a token belongs in a revision.
func (x *accountIndex) find(rev config.Revision, token string) (config.Account, bool) {
	if token == "" {
		return config.Account{}, false
	}
	index := x.current.Load()
	if index == nil || index.revision != rev.Number {
		index = newRevisionIndex(rev)
		x.current.Store(index)
	}
	hash := config.HashToken(token)
	a, known := index.byHash[hash]
	return a, known && a.HasTokenHash(hash)
}

func newRevisionIndex(rev config.Revision) *revisionIndex {
	i := &revisionIndex{rev.Number, make(map[string]config.Account, len(rev.Set.Accounts))}
	for _, a := range rev.Set.Accounts {
		i.byHash[a.TokenHash] = a
	}
	return i
}
