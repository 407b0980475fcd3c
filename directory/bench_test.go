package directory

import "testing"

// BenchmarkVersion measures what a version of 1,700 routes that changes three objects costs the peer
// that encodes it and the one that merges it.
func BenchmarkVersion(b *testing.B) {
	old := largeDeclarations()
	next := revokeKeys(old)
	ahead := followerWith(configurationOf(1, old))
	ahead.setConfiguration(configurationOf(2, next))
	for name, base := range map[string]Configuration{"whole": {}, "patch": configurationOf(1, old)} {
		cursor := followerWith(base).Cursor()
		encoded, err := ahead.Export(b.Context(), cursor)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(name+"/encode", func(b *testing.B) {
			for b.Loop() {
				ahead.generation++ // nothing is reused
				if _, err := ahead.Export(b.Context(), cursor); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(name+"/merge", func(b *testing.B) {
			b.SetBytes(int64(len(encoded)))
			for b.Loop() {
				behind := followerWith(base)
				if err := behind.Import("peer", encoded); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
