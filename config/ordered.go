package config

import "strings"

// MaxLoadModels bounds the models that one target shall have loaded.
const MaxLoadModels = 64

// Ordered says whether a state of the target is declared that it may have to
// be ordered to take.
func (t Target) Ordered() bool { return len(t.LoadModels) > 0 || t.Role != "" }

// checkOrders checks the state that a target shall have.
func checkOrders(d Declarations, object string, t Target, problems *problemList) {
	if len(t.LoadModels) > MaxLoadModels {
		problems.add(object, "load_models", "holds over %d models", MaxLoadModels)
	}
	for _, model := range t.LoadModels {
		if !validArtifact(model) {
			problems.add(object, "load_models", "%q is not \"model\", \"model@version\" or either with \"/adapter\"", model)
		}
	}
	checkNoRepeats(object, "load_models", t.LoadModels, problems)
	if t.Role != "" {
		if reason := nameReason(t.Role); reason != "" {
			problems.add(object, "role", "%s", reason)
		}
	}
	checkOrderedPool(d, object, t, problems)
}

// checkOrderedPool refuses a state for a target that is no engine.
func checkOrderedPool(d Declarations, object string, t Target, problems *problemList) {
	pool, ok := d.Pools[t.Pool]
	if !ok || pool.Kind == KindEngine {
		return
	}
	if len(t.LoadModels) > 0 {
		problems.add(object, "load_models", "only a target of an engine pool has them")
	}
	if t.Role != "" {
		problems.add(object, "role", "only a target of an engine pool has one")
	}
}

// checkOrdersOfPools checks the untouched targets of the touched pools, whose
// kind may have changed.
func checkOrdersOfPools(d Declarations, touched rawDocument, problems *problemList) {
	if len(touched.Pools) == 0 {
		return
	}
	for name, target := range d.Targets {
		_, poolTouched := touched.Pools[target.Pool]
		_, checked := touched.Targets[name]
		if poolTouched && !checked {
			checkOrderedPool(d, targetSection.path(name), target, problems)
		}
	}
}

// validArtifact says whether text names a model with an optional version and
// adapter. A model's own name may hold slashes.
func validArtifact(text string) bool {
	if !validModel(text) || strings.Count(text, "@") > 1 {
		return false
	}
	model, version, versioned := strings.Cut(text, "@")
	if !validPathNames(model) {
		return false
	}
	return !versioned || validPathNames(version)
}

// validPathNames says whether no part between slashes is empty.
func validPathNames(text string) bool {
	for _, part := range strings.Split(text, "/") {
		if part == "" {
			return false
		}
	}
	return true
}
