// Package memory is an in-memory implementation of the platform's services, for
// tests and for embedding: the table, the object store, the list of VMs and the
// weight store. It is linearizable and not persistent.
package memory

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/walnutcove/walnutcove/store"
)

// Change is one applied write of a row or object.
type Change struct {
	// Kind is OpInsert, OpUpdate or OpDelete; a write of an object is OpUpdate with
	// an empty Table.
	Kind store.OpKind
	// Table and Key identify the row; for an object, Key is its name.
	Table string
	Key   string
	// Revision is the revision of the commit that made the change.
	Revision uint64
	// Bytes is the size of the value.
	Bytes int
}

// Options configures a Store. The zero value is usable.
type Options struct {
	// OnChange, if set, is called for every applied write, in order. It must return
	// quickly and must not call the store.
	OnChange func(Change)
	// Now is the clock for the lag of the VM list. Default time.Now.
	Now func() time.Time
}

// Store holds tables, objects and the list of VMs. It implements
// store.RevisionTable and store.VMList; Objects returns the object store.
type Store struct {
	options Options

	mu        sync.Mutex
	tables    map[string]*tableRows
	objects   map[string][]byte
	revision  uint64
	vmHistory vmListHistory
}

var (
	_ store.RevisionTable = (*Store)(nil)
	_ store.VMList        = (*Store)(nil)
)

// New returns an empty store.
func New(options Options) *Store {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Store{
		options: options,
		tables:  make(map[string]*tableRows),
		objects: make(map[string][]byte),
	}
}

// Get implements store.Table.
func (s *Store) Get(ctx context.Context, table, key string) (store.Row, error) {
	if err := checkRead(ctx, table, key); err != nil {
		return store.Row{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.findRow(table, key)
	if !ok {
		return store.Row{}, fmt.Errorf("%w: %s/%s", store.ErrNotFound, table, key)
	}
	row.Value = bytes.Clone(row.Value)
	return row, nil
}

// Scan implements store.Table.
func (s *Store) Scan(ctx context.Context, table, from string, limit int) ([]store.Row, error) {
	if err := checkScan(ctx, table, from); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tables[table]
	if t == nil {
		return nil, nil
	}
	return t.scan(from, limit), nil
}

// Commit implements store.Table.
func (s *Store) Commit(ctx context.Context, ops []store.Op) error {
	_, err := s.CommitRevision(ctx, ops)
	return err
}

// CommitRevision implements store.RevisionTable.
func (s *Store) CommitRevision(ctx context.Context, ops []store.Op) (uint64, error) {
	if err := ctx.Err(); err != nil {
		return 0, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	if err := store.CheckOps(ops); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, op := range ops {
		if !s.conditionHolds(op) {
			return 0, store.ErrConflict
		}
	}
	s.revision++
	for _, op := range ops {
		s.apply(op)
	}
	return s.revision, nil
}

// conditionHolds reports whether the condition of op is met.
func (s *Store) conditionHolds(op store.Op) bool {
	row, ok := s.findRow(op.Table, op.Key)
	switch op.Kind {
	case store.OpInsert:
		return !ok
	case store.OpCheck:
		return row.Revision == op.Revision
	default:
		return ok && row.Revision == op.Revision
	}
}

func (s *Store) apply(op store.Op) {
	switch op.Kind {
	case store.OpInsert, store.OpUpdate:
		s.tableFor(op.Table).put(store.Row{
			Table:    op.Table,
			Key:      op.Key,
			Value:    bytes.Clone(op.Value),
			Revision: s.revision,
		})
	case store.OpDelete:
		s.tableFor(op.Table).remove(op.Key)
	default:
		return
	}
	s.notifyChange(Change{Kind: op.Kind, Table: op.Table, Key: op.Key, Revision: s.revision, Bytes: len(op.Value)})
}

func (s *Store) findRow(table, key string) (store.Row, bool) {
	t := s.tables[table]
	if t == nil {
		return store.Row{}, false
	}
	row, ok := t.rows[key]
	return row, ok
}

func (s *Store) tableFor(name string) *tableRows {
	t := s.tables[name]
	if t == nil {
		t = newTableRows()
		s.tables[name] = t
	}
	return t
}

func (s *Store) notifyChange(change Change) {
	if s.options.OnChange != nil {
		s.options.OnChange(change)
	}
}

func checkRead(ctx context.Context, table, key string) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	if err := store.CheckName("table", table); err != nil {
		return err
	}
	return store.CheckName("key", key)
}

func checkScan(ctx context.Context, table, from string) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	if err := store.CheckName("table", table); err != nil {
		return err
	}
	return store.CheckOptionalName("from", from)
}
