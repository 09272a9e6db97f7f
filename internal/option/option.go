// Package option sets defaults for unset options.
package option

// Default sets *v to d if it has its zero value.
func Default[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
