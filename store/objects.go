package store

import (
	"bytes"
	"context"
	"fmt"
	"net/url"

	"github.com/valyala/fasthttp"
)

// ObjectClient is the HTTP client of the object store.
type ObjectClient struct{ client *Client }

var _ Objects = (*ObjectClient)(nil)

// Objects returns a client of the object store, which shares the connections,
// the write budget and the metrics of c.
func (c *Client) Objects() *ObjectClient { return &ObjectClient{client: c} }

// Put implements Objects. It may be repeated after ErrUnknown, since it replaces
// the complete object.
func (o *ObjectClient) Put(ctx context.Context, name string, value []byte) error {
	if err := CheckName("object", name); err != nil {
		return err
	}
	if len(value) > MaxObjectBytes {
		return fmt.Errorf("%w: object is over %d bytes", ErrInvalid, MaxObjectBytes)
	}
	_, err := o.client.write(ctx, call{
		op:     opPutObject,
		method: fasthttp.MethodPut,
		path:   PathObjects,
		query:  url.Values{"name": {name}},
		body:   bytes.Clone(value), // the attempt may outlive a cancelled call
	})
	return err
}

// Get implements Objects.
func (o *ObjectClient) Get(ctx context.Context, name string) ([]byte, error) {
	if err := CheckName("object", name); err != nil {
		return nil, err
	}
	got, err := o.client.read(ctx, call{op: opGetObject, path: PathObjects, query: url.Values{"name": {name}}})
	return got.body, err
}
