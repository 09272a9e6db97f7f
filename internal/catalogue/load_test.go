package catalogue_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"greengagedeck/internal/catalogue"
)

func TestLoadExamples(t *testing.T) {
	tests := []struct {
		file                string
		pools, hosts, zones int
	}{
		{"kumot.yaml", 5, 48, 4},
		{"ruedasol.yaml", 5, 49, 3},
	}
	for _, tt := range tests {
		t.Run(tt.file, func(t *testing.T) {
			g := NewWithT(t)
			data, err := os.ReadFile("../../examples/" + tt.file)
			g.Expect(err).NotTo(HaveOccurred())
			doc, err := catalogue.Load(tt.file, data)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(doc.Pools).To(HaveLen(tt.pools))
			g.Expect(doc.Hosts).To(HaveLen(tt.hosts))
			zones := map[string]int{}
			racks := map[string]int{}
			for _, h := range doc.Hosts {
				zones[h.Zone]++
				racks[h.Rack]++
			}
			g.Expect(zones).To(HaveLen(tt.zones))
			for rack, n := range racks {
				g.Expect(n).To(BeNumerically("<=", 4), rack)
			}
		})
	}
}

const validFile = `teams:
  - {name: t, rate: 1, burst: 1, weight: 1}
pools:
  - name: p
    owner: t
    slots_per_host: 8
    connections_per_host: 64
hosts:
  - {name: h1, address: "10.0.0.1:80", zone: z, rack: r, pool: p}
entries:
  - name: e
    owner: t
    pool: p
    class: short
    limits: {deadline: 2s}
`

func TestLoadErrorHasFileLineAndReason(t *testing.T) {
	host2 := func(s string) string {
		return strings.Replace(validFile, "entries:", "  - "+s+"\nentries:", 1)
	}
	tests := []struct {
		name, file, want string
	}{
		{"unknown key", validFile + "    colour: red\n", `c.yaml:16: `},
		{"unknown section", validFile + "things: []\n", `c.yaml:16: `},
		{"not yaml", "teams: [", `c.yaml:1: `},
		{"duplicate host", host2(`{name: h1, address: "10.0.0.2:80", zone: z, rack: r, pool: p}`), `c.yaml:10: host/h1: duplicate`},
		{"host in two pools", host2(`{name: h1, address: "10.0.0.2:80", zone: z, rack: r, pool: q}`), `host is in two pools: p and q`},
		{"shared address", host2(`{name: h2, address: "10.0.0.1:80", zone: z, rack: r, pool: p}`), `c.yaml:10: host/h2: address 10.0.0.1:80 is also that of host h1`},
		{"host name as address", host2(`{name: h2, address: "host:80", zone: z, rack: r, pool: p}`), `is not IP:port`},
		{"unknown pool", strings.Replace(validFile, "pool: p\n    class", "pool: q\n    class", 1), `c.yaml:13: entry/e: unknown pool "q"`},
		{"unknown owner", strings.Replace(validFile, "owner: t\n    pool", "owner: x\n    pool", 1), `c.yaml:12: entry/e: unknown team "x"`},
		{"negative limit", strings.Replace(validFile, "{deadline: 2s}", "{deadline: 2s, slots: -1}", 1), `c.yaml:15: entry/e: limits.slots is negative: -1`},
		{"unknown class", strings.Replace(validFile, "class: short", "class: tiny", 1), `c.yaml:14: entry/e: class "tiny"`},
		{"no deadline", strings.Replace(validFile, "{deadline: 2s}", "{slots: 1}", 1), `deadline 0s is not within`},
		{"too large", validFile + strings.Repeat("#", catalogue.MaxFileBytes), `c.yaml:1: file has`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := catalogue.Load("c.yaml", []byte(tt.file))
			g.Expect(err).To(MatchError(ContainSubstring(tt.want)))
		})
	}
	_, err := catalogue.Load("c.yaml", []byte(validFile))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("hosts: [{name: a, pool: [b]}]"))
	f.Add([]byte("- 1\n- 2\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := catalogue.Load("f.yaml", data)
		if err == nil && len(doc.Check()) > 0 {
			t.Fatalf("accepted a document with problems: %q", data)
		}
	})
}
