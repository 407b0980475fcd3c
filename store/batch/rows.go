package batch

import "github.com/walnutcove/walnutcove/store"

type rowName struct{ table, key string }

// rowUse describes how groups use a row. Any number of groups may check it at the
// same revision; only one at a time may write it.
type rowUse struct {
	checkCount int // zero if the row is written
	revision   uint64
}

// rowUsage holds the rows used by a set of groups.
type rowUsage map[rowName]rowUse

// conflictsWith reports whether a row of g is used in a way that excludes g's use.
func (u rowUsage) conflictsWith(g *group) bool {
	for _, op := range g.ops {
		use, ok := u[rowName{op.Table, op.Key}]
		if ok && !use.canShare(op) {
			return true
		}
	}
	return false
}

// canShare reports whether op may use the row in addition to the current use.
func (use rowUse) canShare(op store.Op) bool {
	return op.Kind == store.OpCheck && use.checkCount > 0 && use.revision == op.Revision
}

// add adds the rows of g. A row whose uses exclude each other counts as written.
func (u rowUsage) add(g *group) {
	for _, op := range g.ops {
		name := rowName{op.Table, op.Key}
		use, ok := u[name]
		if op.Kind == store.OpCheck && (!ok || use.canShare(op)) {
			u[name] = rowUse{checkCount: use.checkCount + 1, revision: op.Revision}
		} else {
			u[name] = rowUse{}
		}
	}
}

// remove removes the rows of g, which were added by add.
func (u rowUsage) remove(g *group) {
	for _, op := range g.ops {
		name := rowName{op.Table, op.Key}
		use := u[name]
		use.checkCount--
		if use.checkCount <= 0 {
			delete(u, name)
			continue
		}
		u[name] = use
	}
}
