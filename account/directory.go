package account

// Directory looks up the accounts of one configuration. It is immutable. The zero Directory is
// empty.
type Directory struct {
	byKey  map[Digest]Terms
	byName map[string]Terms
}

// NewDirectory returns the directory of a list of accounts. Accounts with the same name are
// merged: the terms of the first apply to the keys of all. A key of several accounts
// identifies the first of them, because rejecting its callers would be worse.
func NewDirectory(list []Account) Directory {
	d := Directory{byKey: map[Digest]Terms{}, byName: make(map[string]Terms, len(list))}
	for _, a := range list {
		terms, known := d.byName[a.Terms.Name]
		if !known {
			terms = a.Terms
			d.byName[terms.Name] = terms
		}
		for _, key := range a.Keys {
			if _, taken := d.byKey[key]; !taken {
				d.byKey[key] = terms
			}
		}
	}
	return d
}

// ByKey returns the terms of the account that holds a key. Lookup by digest keeps the duration
// independent of how much of a guessed key is correct.
func (d Directory) ByKey(key Digest) (Terms, bool) {
	terms, ok := d.byKey[key]
	return terms, ok
}

// ByName returns the terms of the account with the given name.
func (d Directory) ByName(name string) (Terms, bool) {
	terms, ok := d.byName[name]
	return terms, ok
}

// Len returns the number of distinct account names.
func (d Directory) Len() int { return len(d.byName) }
