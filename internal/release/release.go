// Package release names the release that a binary was built from.
package release

// version is set by the linker.
var version = "dev"

// String returns the release.
func String() string { return version }
