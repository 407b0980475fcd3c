package config

import "strings"

// MaxLoadModels limits the models that one target can be ordered to load.
const MaxLoadModels = 64

// HasOrders reports whether the declaration prescribes loaded models or a role,
// which the target may have to be ordered to adopt.
func (t Target) HasOrders() bool { return len(t.LoadModels) > 0 || t.Role != "" }

// checkOrders checks the loaded models and the role prescribed for a target.
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
		if reason := invalidNameReason(t.Role); reason != "" {
			problems.add(object, "role", "%s", reason)
		}
	}
	checkOrdersPoolKind(d, object, t, problems)
}

// checkOrdersPoolKind rejects loaded models and a role for a target outside an
// engine pool.
func checkOrdersPoolKind(d Declarations, object string, t Target, problems *problemList) {
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

// checkOrdersOfUntouchedTargets checks the untouched targets of touched pools,
// whose kind may have changed.
func checkOrdersOfUntouchedTargets(d Declarations, touched rawDocument, problems *problemList) {
	if len(touched.Pools) == 0 {
		return
	}
	for name, target := range d.Targets {
		_, poolTouched := touched.Pools[target.Pool]
		_, checked := touched.Targets[name]
		if poolTouched && !checked {
			checkOrdersPoolKind(d, targetSection.path(name), target, problems)
		}
	}
}

// validArtifact reports whether text names a model with an optional version
// and adapter. A model's own name may contain slashes.
func validArtifact(text string) bool {
	if !validModel(text) || strings.Count(text, "@") > 1 {
		return false
	}
	model, version, versioned := strings.Cut(text, "@")
	if !hasNoEmptySegment(model) {
		return false
	}
	return !versioned || hasNoEmptySegment(version)
}

// hasNoEmptySegment reports whether no slash-separated segment of text is empty.
func hasNoEmptySegment(text string) bool {
	for _, part := range strings.Split(text, "/") {
		if part == "" {
			return false
		}
	}
	return true
}
