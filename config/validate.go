package config

import (
	"encoding/hex"
	"encoding/json"
	"math"
	"net/netip"
	"slices"
	"strings"
)

// Limits enforced by validation.
const (
	// MaxNameBytes limits the names of workspaces, pools, targets and data centres.
	MaxNameBytes = 100
	// MaxModelBytes limits a model's name.
	MaxModelBytes = 200
	// MinShare and MaxShare limit a workspace's share.
	MinShare = 1e-6
	MaxShare = 1e6
	// MaxSlots limits a target's slots.
	MaxSlots = 100_000
	// MaxTypicalMillis limits a pool's typical slot time and its cold start time: one day.
	MaxTypicalMillis = 24 * 60 * 60 * 1000
	// MaxColdPerSecond limits the request rate that a pool declares for its cold targets.
	MaxColdPerSecond = 100_000
)

// Validate checks a complete document. The error is a *ValidationError that
// lists every problem. Defaults must already be filled in.
func Validate(d Declarations) error {
	return validateAll(d).err()
}

func validateAll(d Declarations) *problemList {
	allNames := rawDocument{
		Workspaces: namesOf(d.Workspaces),
		Pools:      namesOf(d.Pools),
		Targets:    namesOf(d.Targets),
		Routes:     namesOf(d.Routes),
	}
	problems := &problemList{}
	validateTouched(d, allNames, newEmptyIndex(), problems)
	return problems
}

func namesOf[T any](objects map[string]T) map[string]json.RawMessage {
	names := make(map[string]json.RawMessage, len(objects))
	for name := range objects {
		names[name] = nil
	}
	return names
}

// validateTouched checks the touched objects of d, and the untouched objects
// that refer to removed ones. before is the index of the previous version,
// whose untouched objects are valid.
func validateTouched(d Declarations, touched rawDocument, before *Index, problems *problemList) {
	for name := range touched.Workspaces {
		if workspace, ok := d.Workspaces[name]; ok {
			checkWorkspace(d, name, workspace, problems)
		}
	}
	for name := range touched.Pools {
		if pool, ok := d.Pools[name]; ok {
			checkPool(name, pool, problems)
		}
	}
	for name := range touched.Targets {
		if target, ok := d.Targets[name]; ok {
			checkTarget(d, name, target, problems)
		}
	}
	for name := range touched.Routes {
		if route, ok := d.Routes[name]; ok {
			checkRoute(d, name, route, problems)
		}
	}
	if len(touched.Routes) > 0 {
		checkRoutesUnique(d.Routes, problems)
	}
	checkKeyOwners(d, touched, before, problems)
	checkOrdersOfUntouchedTargets(d, touched, problems)
	if len(touched.Pools) > 0 {
		checkPoolsUnique(d.Pools, problems)
	}
	checkRemoved(d, touched, problems)
}

func checkName(object, name string, problems *problemList) {
	if reason := invalidNameReason(name); reason != "" {
		problems.add(object, "", "name %s", reason)
	}
}

// invalidNameReason returns why a name is invalid, or "" if it is valid.
func invalidNameReason(name string) string {
	if name == "" {
		return "is empty"
	}
	if len(name) > MaxNameBytes {
		return "is too long"
	}
	for _, r := range name {
		letter := r >= 'a' && r <= 'z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && r != '-' && r != '.' {
			return "may hold only lower-case letters, digits, dash and dot"
		}
	}
	if name[0] == '-' || name[0] == '.' {
		return "must begin with a letter or digit"
	}
	return ""
}

func checkWorkspace(d Declarations, name string, w Workspace, problems *problemList) {
	object := workspaceSection.path(name)
	checkName(object, name, problems)
	if !(w.Share > 0) {
		problems.add(object, "share", "must be over 0")
	} else if math.IsInf(w.Share, 0) || w.Share < MinShare || w.Share > MaxShare {
		problems.add(object, "share", "must be between %g and %g", MinShare, MaxShare)
	}
	if w.MaxQueued < 1 {
		problems.add(object, "max_queued", "must be over 0")
	}
	if w.MaxQueuedBytes < 1 {
		problems.add(object, "max_queued_bytes", "must be over 0")
	}
	for _, hash := range w.KeyHashes {
		parsed, ok := parseKeyHash(hash)
		if !ok {
			problems.add(object, "key_hashes", "%q is not a SHA-256 digest of 64 lower-case hex digits", hash)
		} else if parsed == emptyKeyHash {
			problems.add(object, "key_hashes", "%q is the digest of an empty key", hash)
		}
	}
	checkNoRepeats(object, "key_hashes", w.KeyHashes, problems)
	checkNoRepeats(object, "pools", w.Pools, problems)
	checkNoRepeats(object, "targets", w.Targets, problems)
	for _, pool := range w.Pools {
		if _, ok := d.Pools[pool]; !ok {
			problems.add(object, "pools", "pool %q is not declared", pool)
		}
	}
	for _, target := range w.Targets {
		if _, ok := d.Targets[target]; !ok {
			problems.add(object, "targets", "target %q is not declared", target)
		}
	}
}

var emptyKeyHash = HashKey(nil)

func checkNoRepeats(object, field string, values []string, problems *problemList) {
	seen := make(map[string]bool, len(values))
	for _, value := range values {
		if seen[value] {
			problems.add(object, field, "%q is named twice", value)
		}
		seen[value] = true
	}
}

func parseKeyHash(text string) (KeyHash, bool) {
	var hash KeyHash
	if len(text) != hex.EncodedLen(len(hash)) || strings.ToLower(text) != text {
		return KeyHash{}, false
	}
	if _, err := hex.Decode(hash[:], []byte(text)); err != nil {
		return KeyHash{}, false
	}
	return hash, true
}

func checkPool(name string, p Pool, problems *problemList) {
	object := poolSection.path(name)
	checkName(object, name, problems)
	switch p.Kind {
	case KindEngine:
		checkEnginePool(object, p, problems)
	case KindService:
		checkServicePool(object, p, problems)
	default:
		problems.add(object, "kind", "must be %q or %q", KindEngine, KindService)
	}
	if p.TypicalMillis < 1 || p.TypicalMillis > MaxTypicalMillis {
		problems.add(object, "typical_millis", "must be between 1 and %d", MaxTypicalMillis)
	}
	if p.ColdStartMillis < 0 || p.ColdStartMillis > MaxTypicalMillis {
		problems.add(object, "cold_start_millis", "must be between 0 and %d", MaxTypicalMillis)
	}
	if !(p.ColdPerSecond >= 0 && p.ColdPerSecond <= MaxColdPerSecond) {
		problems.add(object, "cold_per_second", "must be between 0 and %d", MaxColdPerSecond)
	}
}

func checkEnginePool(object string, p Pool, problems *problemList) {
	if len(p.Models) == 0 {
		problems.add(object, "models", "an engine pool needs at least one model")
	}
	for _, model := range p.Models {
		if !validModel(model) {
			problems.add(object, "models", "%q is not a model name", model)
		}
	}
	checkNoRepeats(object, "models", p.Models, problems)
	if p.PathPrefix != "" {
		problems.add(object, "path_prefix", "only a service pool has one")
	}
}

func validModel(model string) bool {
	if model == "" || len(model) > MaxModelBytes {
		return false
	}
	for _, r := range model {
		if r <= ' ' || r > '~' {
			return false
		}
	}
	return true
}

func checkServicePool(object string, p Pool, problems *problemList) {
	if len(p.Models) > 0 {
		problems.add(object, "models", "only an engine pool has models")
	}
	if !validPathPrefix(p.PathPrefix) {
		problems.add(object, "path_prefix", "must be a path such as \"/svc/deploy\", without a trailing slash")
	}
}

func validPathPrefix(prefix string) bool {
	rest, ok := strings.CutPrefix(prefix, "/")
	if !ok {
		return false
	}
	for _, r := range rest {
		if r <= ' ' || r > '~' || strings.ContainsRune("?#%\\", r) {
			return false
		}
	}
	for _, part := range strings.Split(rest, "/") {
		if part == "" || part == "." || part == ".." {
			return false
		}
	}
	return true
}

func checkTarget(d Declarations, name string, t Target, problems *problemList) {
	object := targetSection.path(name)
	checkName(object, name, problems)
	if t.Pool == "" {
		problems.add(object, "pool", "is missing")
	} else if _, ok := d.Pools[t.Pool]; !ok {
		problems.add(object, "pool", "pool %q is not declared", t.Pool)
	}
	if reason := invalidNameReason(t.DataCentre); reason != "" {
		problems.add(object, "data_centre", "%s", reason)
	}
	if !ValidAddress(t.Address) {
		problems.add(object, "address", "must be an IP number and port such as \"10.0.0.7:8000\", not a host name")
	}
	if t.Slots < 1 || t.Slots > MaxSlots {
		problems.add(object, "slots", "must be between 1 and %d", MaxSlots)
	}
	checkOrders(d, object, t, problems)
}

// ValidAddress reports whether an address is an IP number and port that a router can connect to.
func ValidAddress(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		return false
	}
	ip := parsed.Addr()
	return ip.Zone() == "" && !ip.IsUnspecified() && !ip.IsMulticast()
}

// checkKeyOwners rejects key hashes that belong to more than one workspace.
func checkKeyOwners(d Declarations, touched rawDocument, before *Index, problems *problemList) {
	owners := make(map[string]string)
	names := sortedNames(touched.Workspaces)
	for _, name := range names {
		for _, hash := range d.Workspaces[name].KeyHashes {
			owner, taken := owners[hash]
			if !taken {
				owner, taken = ownerAmongUntouched(hash, touched, before)
			}
			if taken && owner != name {
				problems.add(workspaceSection.path(name), "key_hashes", "%q belongs to workspace %q", hash, owner)
			}
			owners[hash] = name
		}
	}
}

func ownerAmongUntouched(hash string, touched rawDocument, before *Index) (string, bool) {
	parsed, ok := parseKeyHash(hash)
	if !ok {
		return "", false
	}
	owner, ok := before.WorkspaceByKeyHash(parsed)
	if !ok {
		return "", false
	}
	_, changed := touched.Workspaces[owner]
	return owner, !changed
}

// checkPoolsUnique rejects models and path prefixes that belong to more than
// one pool.
func checkPoolsUnique(pools map[string]Pool, problems *problemList) {
	models := make(map[string]string)
	prefixes := make(map[string]string)
	for _, name := range sortedNames(pools) {
		pool := pools[name]
		for _, model := range pool.Models {
			if owner, taken := models[model]; taken && owner != name {
				problems.add(poolSection.path(name), "models", "model %q belongs to pool %q", model, owner)
			}
			models[model] = name
		}
		if pool.PathPrefix == "" {
			continue
		}
		if owner, taken := prefixes[pool.PathPrefix]; taken {
			problems.add(poolSection.path(name), "path_prefix", "%q belongs to pool %q", pool.PathPrefix, owner)
		}
		prefixes[pool.PathPrefix] = name
	}
}

// checkRemoved rejects the removal of pools and targets that untouched objects
// still refer to.
func checkRemoved(d Declarations, touched rawDocument, problems *problemList) {
	pools := removedNames(d.Pools, touched.Pools)
	targets := removedNames(d.Targets, touched.Targets)
	if len(pools) == 0 && len(targets) == 0 {
		return
	}
	for name, workspace := range d.Workspaces {
		if _, checked := touched.Workspaces[name]; checked {
			continue
		}
		object := workspaceSection.path(name)
		addDanglingReferences(object, "pools", "pool", workspace.Pools, pools, problems)
		addDanglingReferences(object, "targets", "target", workspace.Targets, targets, problems)
	}
	for name, target := range d.Targets {
		if _, checked := touched.Targets[name]; checked {
			continue
		}
		addDanglingReferences(targetSection.path(name), "pool", "pool", []string{target.Pool}, pools, problems)
	}
	for name, route := range d.Routes {
		if _, checked := touched.Routes[name]; !checked {
			addDanglingReferences(routeSection.path(name), "split", "pool", route.pools(), pools, problems)
		}
	}
}

func removedNames[T any](objects map[string]T, touched map[string]json.RawMessage) []string {
	var removed []string
	for name := range touched {
		if _, exists := objects[name]; !exists {
			removed = append(removed, name)
		}
	}
	return removed
}

func addDanglingReferences(object, field, kind string, references, removed []string, problems *problemList) {
	for _, name := range references {
		if slices.Contains(removed, name) {
			problems.add(object, field, "%s %q is not declared", kind, name)
		}
	}
}
