package account

// Directory finds the accounts of one configuration. It never changes. The zero Directory
// knows no account.
type Directory struct {
	byKey  map[Digest]Terms
	byName map[string]Terms
}

// NewDirectory returns the directory of a list of accounts. Of two with one name the first
// one's terms are in force, with the keys of both. A key that two accounts hold is the first
// one's: turning its callers away would be worse.
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

// ByKey returns the terms of the account that holds a key. The digest is looked up as a
// whole, so how long it takes tells nothing of the keys that there are.
func (d Directory) ByKey(key Digest) (Terms, bool) {
	terms, ok := d.byKey[key]
	return terms, ok
}

// Named returns the terms of an account.
func (d Directory) Named(name string) (Terms, bool) {
	terms, ok := d.byName[name]
	return terms, ok
}

// Len returns the number of accounts.
func (d Directory) Len() int { return len(d.byName) }
