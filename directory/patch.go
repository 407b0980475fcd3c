package directory

import (
	"errors"
	"maps"
	"reflect"
	"slices"

	"github.com/walnutcove/walnutcove/config"
)

const (
	// maxPrevious bounds the configurations before the one in force that are kept, so that peers
	// which have one of them get the differences only.
	maxPrevious = 4
	// declarationsFormat is increased when config.Declarations gets a field. Builds that do not
	// know the field pass declarations on without it; no patch is based on these.
	declarationsFormat = 1
)

// errPatchBase reports a patch that does not apply to the configuration known here.
var errPatchBase = errors.New("directory: the patch is for another configuration")

// configID identifies the content of a configuration: the platform writes it once.
type configID struct {
	Version  config.Version  `json:"version"`
	Revision config.Revision `json:"revision"`
}

func (c Configuration) id() configID { return configID{c.Version, c.Revision} }

// configPatch is the difference between two configurations.
type configPatch struct {
	Base configID `json:"base"`
	// Changed holds the objects that were added or changed, and the limits of callers.
	Changed config.Declarations `json:"changed"`
	// The names of the objects that were removed.
	RemovedWorkspaces []string `json:"removed_workspaces,omitempty"`
	RemovedPools      []string `json:"removed_pools,omitempty"`
	RemovedRoutes     []string `json:"removed_routes,omitempty"`
}

// newConfigPatch returns the patch that turns base into next.
func newConfigPatch(base, next Configuration) *configPatch {
	p := &configPatch{Base: base.id()}
	from, to := base.Declarations, next.Declarations
	p.Changed.Callers = to.Callers
	p.Changed.Workspaces, p.RemovedWorkspaces = diffObjects(from.Workspaces, to.Workspaces)
	p.Changed.Pools, p.RemovedPools = diffObjects(from.Pools, to.Pools)
	p.Changed.Routes, p.RemovedRoutes = diffObjects(from.Routes, to.Routes)
	return p
}

// diffObjects returns the objects of to that from lacks or has otherwise, and the names of those
// that only from has.
func diffObjects[T any](from, to map[string]T) (changed map[string]T, removed []string) {
	changed = make(map[string]T)
	for name, object := range to {
		if old, exists := from[name]; !exists || !reflect.DeepEqual(old, object) {
			changed[name] = object
		}
	}
	for name := range from {
		if _, exists := to[name]; !exists {
			removed = append(removed, name)
		}
	}
	return changed, removed
}

// apply returns the declarations that the patch makes of those of its base.
func (p *configPatch) apply(base config.Declarations) config.Declarations {
	return config.Declarations{
		Workspaces: patchObjects(base.Workspaces, p.Changed.Workspaces, p.RemovedWorkspaces),
		Pools:      patchObjects(base.Pools, p.Changed.Pools, p.RemovedPools),
		Routes:     patchObjects(base.Routes, p.Changed.Routes, p.RemovedRoutes),
		Callers:    p.Changed.Callers,
	}
}

func patchObjects[T any](base, changed map[string]T, removed []string) map[string]T {
	next := make(map[string]T, len(base)+len(changed))
	maps.Copy(next, base)
	maps.Copy(next, changed)
	for _, name := range removed {
		delete(next, name)
	}
	return next
}

// keepPrevious keeps the configuration in force before it is replaced.
func (s *state) keepPrevious() {
	if s.configuration.Version == 0 {
		return
	}
	if len(s.previous) == maxPrevious {
		s.previous = slices.Delete(s.previous, 0, 1)
	}
	s.previous = append(s.previous, s.configuration)
}

// patchFrom returns the patch from an earlier configuration to the one in force; nil if that
// configuration is not kept, or if either may lack fields that the other has.
func (s *state) patchFrom(base configID, format int) *configPatch {
	if format != declarationsFormat || s.configuration.Format != declarationsFormat {
		return nil
	}
	for _, previous := range s.previous {
		if previous.id() == base && previous.Format == declarationsFormat {
			return newConfigPatch(previous, s.configuration)
		}
	}
	return nil
}

// exportedConfiguration returns the configuration of another router's export. newer is false if
// it is not newer than the one in force.
func (s *state) exportedConfiguration(content peerExport) (c Configuration, newer bool, err error) {
	c = Configuration{Version: content.Version, Revision: content.ConfigRevision, Declarations: content.Declarations, Format: content.Format}
	if !s.replaces(c) {
		return Configuration{}, false, nil
	}
	if content.Patch != nil {
		if content.Patch.Base != s.configuration.id() {
			return Configuration{}, false, errPatchBase
		}
		c.Declarations = content.Patch.apply(s.configuration.Declarations)
	}
	return c, true, nil
}
