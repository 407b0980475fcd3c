package batch

import "github.com/walnutcove/walnutcove/store"

type rowName struct{ table, key string }

// rowUse says how groups use a row. Any number of them may check it at the same
// revision; one alone may write it.
type rowUse struct {
	checks   int // zero: the row is written
	revision uint64
}

// rowUses are the rows that groups use together.
type rowUses map[rowName]rowUse

// exclude says whether a row of g is used in a way that does not let g use it, too.
func (u rowUses) exclude(g *group) bool {
	for _, op := range g.ops {
		use, ok := u[rowName{op.Table, op.Key}]
		if ok && !use.shared(op) {
			return true
		}
	}
	return false
}

// shared says whether op may use the row beside the present use.
func (use rowUse) shared(op store.Op) bool {
	return op.Kind == store.OpCheck && use.checks > 0 && use.revision == op.Revision
}

// add adds the rows of g. Uses that exclude each other leave the row as if it
// were written.
func (u rowUses) add(g *group) {
	for _, op := range g.ops {
		name := rowName{op.Table, op.Key}
		use, ok := u[name]
		if op.Kind == store.OpCheck && (!ok || use.shared(op)) {
			u[name] = rowUse{checks: use.checks + 1, revision: op.Revision}
		} else {
			u[name] = rowUse{}
		}
	}
}

// remove takes out the rows of g, which add has added.
func (u rowUses) remove(g *group) {
	for _, op := range g.ops {
		name := rowName{op.Table, op.Key}
		use := u[name]
		use.checks--
		if use.checks <= 0 {
			delete(u, name)
			continue
		}
		u[name] = use
	}
}
