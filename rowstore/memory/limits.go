package memory

import (
	"encoding/base64"
	"errors"
	"fmt"
	"slices"

	"chutereach/rowstore"
)

// LimitSizes makes the store reject transactions that exceed the limits of the platform's store for sizes. Tables that the
// system only reads may be exempt: the operator writes them with limits of its own.
func (s *Store) LimitSizes(exempt ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sizesLimited, s.exemptTables = true, exempt
}

// RejectRows makes the store reject transactions that write rows for which rejects returns true.
func (s *Store) RejectRows(rejects func(rowstore.Put) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejects = rejects
}

// jsonBytesPerRow is the length of the field names of a row in the body of a transaction.
const jsonBytesPerRow = 48

func (s *Store) check(transaction rowstore.Transaction) error {
	if n := len(transaction.Conditions) + len(transaction.Puts) + len(transaction.Deletes); n > rowstore.MaxTransactionEntries {
		return &rowstore.RejectedError{Cause: fmt.Errorf("transaction has %d entries, want at most %d", n, rowstore.MaxTransactionEntries)}
	}
	if s.rejects != nil && slices.ContainsFunc(transaction.Puts, s.rejects) {
		return &rowstore.RejectedError{Cause: errors.New("the store does not accept a row")}
	}
	if err := s.checkSizes(transaction); s.sizesLimited && err != nil {
		return err
	}
	met := true
	var rows []rowstore.Row
	for _, condition := range transaction.Conditions {
		row, ok := s.rows[condition.Key]
		if !ok {
			row = rowstore.Row{Key: condition.Key}
		}
		rows = append(rows, row)
		met = met && row.Version == condition.Version
	}
	if !met {
		return &rowstore.ConflictError{Rows: rows}
	}
	return nil
}

// checkSizes returns a RejectedError if the transaction exceeds the limits of the platform's store for sizes.
func (s *Store) checkSizes(transaction rowstore.Transaction) error {
	size := 0
	for _, put := range transaction.Puts {
		if slices.Contains(s.exemptTables, put.Table) {
			continue
		}
		if len(put.Value) > rowstore.MaxRowBytes {
			return &rowstore.RejectedError{Cause: fmt.Errorf("value of %v has %d bytes, want at most %d", put.Key, len(put.Value), rowstore.MaxRowBytes)}
		}
		size += base64.StdEncoding.EncodedLen(len(put.Value)) + len(put.Table) + len(put.Partition) + len(put.Name) + jsonBytesPerRow
	}
	if size > rowstore.MaxTransactionBytes {
		return &rowstore.RejectedError{Cause: fmt.Errorf("transaction has %d bytes, want at most %d", size, rowstore.MaxTransactionBytes)}
	}
	return nil
}
