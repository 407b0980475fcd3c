package memory

import (
	"bytes"
	"context"
	"fmt"

	"github.com/walnutcove/walnutcove/store"
)

// Objects is the object store of a Store.
type Objects struct{ store *Store }

var _ store.Objects = (*Objects)(nil)

// Objects returns the store's object store.
func (s *Store) Objects() *Objects { return &Objects{store: s} }

// Put implements store.Objects.
func (o *Objects) Put(ctx context.Context, name string, value []byte) error {
	_, err := o.PutRevision(ctx, name, value)
	return err
}

// PutRevision is Put that also returns the revision of the write.
func (o *Objects) PutRevision(ctx context.Context, name string, value []byte) (uint64, error) {
	if err := checkObject(ctx, name); err != nil {
		return 0, err
	}
	if len(value) > store.MaxObjectBytes {
		return 0, fmt.Errorf("%w: object is over %d bytes", store.ErrInvalid, store.MaxObjectBytes)
	}
	s := o.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.objects[name] = bytes.Clone(value)
	s.notifyChange(Change{Kind: store.OpUpdate, Key: name, Revision: s.revision, Bytes: len(value)})
	return s.revision, nil
}

// Get implements store.Objects.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := checkObject(ctx, name); err != nil {
		return nil, err
	}
	s := o.store
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.objects[name]
	if !ok {
		return nil, fmt.Errorf("%w: object %s", store.ErrNotFound, name)
	}
	return bytes.Clone(value), nil
}

func checkObject(ctx context.Context, name string) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	return store.CheckName("object", name)
}
