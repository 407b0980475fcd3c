package store

import (
	"bytes"
	"context"
	"fmt"
	"net/url"

	"github.com/valyala/fasthttp"
)

// ObjectClient calls the object store over HTTP.
type ObjectClient struct{ client *Client }

var _ Objects = (*ObjectClient)(nil)

// Objects returns the object store, which shares the client's connections,
// write budget and counters.
func (c *Client) Objects() *ObjectClient { return &ObjectClient{client: c} }

// Put implements Objects. It may be sent again after ErrUnknown, since it
// replaces the object whole.
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
		body:   bytes.Clone(value), // the try may outlive a cancelled call
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
