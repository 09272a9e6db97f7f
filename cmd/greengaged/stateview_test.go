package main

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestConnectionShare(t *testing.T) {
	g := NewWithT(t)
	for daemons := range 9 {
		part := connectionShare(64, daemons)
		g.Expect(part).To(BeNumerically(">=", 1))
		g.Expect(part * max(1, daemons)).To(BeNumerically("<=", 64))
	}
	g.Expect(connectionShare(1, 3)).To(Equal(1))
}
