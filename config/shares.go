package config

// ShareOf returns the share of a workspace; 1 if it is unknown or none is declared.
func (d *Declarations) ShareOf(workspace string) float64 {
	if ws, ok := d.Workspaces[workspace]; ok && ws.Share > 0 {
		return ws.Share
	}
	return 1
}
