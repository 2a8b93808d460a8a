// Package account defines client accounts: the keys that authenticate their calls, their
// weight when resources are scarce, and their quota.
//
// Keys are held only as digests. A digest can be compared, sent to another box and used as a
// map key without revealing the key.
package account
