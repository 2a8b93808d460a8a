// Package account knows client accounts: whose a call is, by the keys that an account
// holds, which share of a full cluster is the account's, and what it may have running.
//
// Keys are kept as digests only. A digest can be compared, sent to another box and used as
// the key of a map without telling the key.
package account
