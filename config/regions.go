package config

import "slices"

// AllowedRegions restricts the regions whose targets may handle a request. The zero value
// allows all targets.
type AllowedRegions struct {
	// Restricted limits the request to Regions; if these are empty, no target is allowed.
	Restricted bool
	Regions    []string
}

// AllowedRegions returns the regions allowed for requests of a workspace by a route: the
// intersection if both declare regions. An undeclared route or workspace adds no restriction.
func (d *Declarations) AllowedRegions(route, workspace string) AllowedRegions {
	ofRoute, ofWorkspace := d.Routes[route].Regions, d.Workspaces[workspace].Regions
	switch {
	case len(ofRoute) == 0 && len(ofWorkspace) == 0:
		return AllowedRegions{}
	case len(ofRoute) == 0:
		return AllowedRegions{Restricted: true, Regions: ofWorkspace}
	case len(ofWorkspace) == 0:
		return AllowedRegions{Restricted: true, Regions: ofRoute}
	}
	var both []string
	for _, region := range ofRoute {
		if slices.Contains(ofWorkspace, region) {
			both = append(both, region)
		}
	}
	return AllowedRegions{Restricted: true, Regions: both}
}

// Allows reports whether a target in a region may handle the request. A target of unknown
// region may handle unrestricted requests only.
func (a AllowedRegions) Allows(region string) bool {
	return !a.Restricted || region != "" && slices.Contains(a.Regions, region)
}

// Equal reports whether a and other have the same restriction, with regions in the same order.
func (a AllowedRegions) Equal(other AllowedRegions) bool {
	return a.Restricted == other.Restricted && slices.Equal(a.Regions, other.Regions)
}
