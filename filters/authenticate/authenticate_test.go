package authenticate

import (
	"context"
	"encoding/hex"
	"errors"
	"maps"
	"testing"

	"github.com/walnutcove/walnutcove/config"
	"github.com/walnutcove/walnutcove/pipeline"
	"github.com/walnutcove/walnutcove/result"
)

type staticSource struct{ snapshot *config.Snapshot }

func (s staticSource) InForce() *config.Snapshot { return s.snapshot }

func TestAuthenticate(t *testing.T) {
	hash := config.HashKey([]byte("secret"))
	snapshot := &config.Snapshot{Version: 1, Declarations: config.Declarations{
		Workspaces: map[string]config.Workspace{"bakery": {Share: 3, KeyHashes: []string{hex.EncodeToString(hash[:])}}},
	}}
	for _, c := range []struct {
		name     string
		header   map[string]string
		snapshot *config.Snapshot
		code     result.Code
	}{
		{"bearer", map[string]string{"Authorization": "Bearer secret"}, snapshot, result.OK},
		{"scheme in another case", map[string]string{"Authorization": "bEARER  secret"}, snapshot, result.OK},
		{"own header", map[string]string{"Walnut-Key": "secret"}, snapshot, result.OK},
		{"wrong", map[string]string{"Walnut-Key": "secreT"}, snapshot, result.KeyWrong},
		{"the hash itself", map[string]string{"Walnut-Key": hex.EncodeToString(hash[:])}, snapshot, result.KeyWrong},
		{"none", map[string]string{}, snapshot, result.KeyMissing},
		{"other scheme", map[string]string{"Authorization": "Basic secret"}, snapshot, result.KeyMissing},
		{"no configuration", map[string]string{"Walnut-Key": "secret"}, nil, result.NotReady},
	} {
		t.Run(c.name, func(t *testing.T) {
			given := maps.Clone(c.header)
			ex := &pipeline.Exchange{Header: c.header}
			called := false
			err := New(staticSource{c.snapshot}).Serve(context.Background(), ex, func(context.Context, *pipeline.Exchange) error {
				called = true
				return nil
			})
			code := result.OK
			var refusal *result.Error
			if errors.As(err, &refusal) {
				code = refusal.Code
			}
			if code != c.code || called != (c.code == result.OK) {
				t.Errorf("got %d, %v, called %t", code, err, called)
			}
			if called && (ex.WorkspaceName != "bakery" || ex.Workspace.Share != 3 || ex.Snapshot != snapshot) {
				t.Errorf("got workspace %q %v", ex.WorkspaceName, ex.Workspace)
			}
			workspace, early := New(staticSource{c.snapshot}).Check(func(name string) string { return given[name] })
			if (early == nil) != called || early != nil && early.Code != c.code || workspace != ex.WorkspaceName {
				t.Errorf("by the headers alone: %q, %v", workspace, early)
			}
			if len(ex.Header) != 0 {
				t.Errorf("the key is left in %v", ex.Header)
			}
		})
	}
}
