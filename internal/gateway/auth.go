package gateway

import (
	"crypto/subtle"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"greengagedeck/internal/catalogue"
)

// AdminTeam is the team that is authorized for every operation.
const AdminTeam = "admin"

// Token is a secret and the team that it authenticates. Tokens are never logged.
type Token struct {
	Team   string
	Secret string
}

// ParseTokens reads team=secret pairs, separated by commas.
func ParseTokens(s string) ([]Token, error) {
	if s == "" {
		return nil, nil
	}
	var out []Token
	for i, pair := range strings.Split(s, ",") {
		team, secret, ok := strings.Cut(pair, "=")
		if !ok || team == "" || secret == "" {
			return nil, eris.Errorf("token %d is not team=secret", i+1)
		}
		out = append(out, Token{Team: team, Secret: secret})
	}
	return out, nil
}

// authenticator maps a request's token to a team.
type authenticator struct {
	tokens []Token
}

// team returns the caller's team. Without configured tokens every caller is
// AdminTeam, which the settings allow on loopback addresses only. Every token is
// compared, in constant time, so that the timing reveals nothing about a secret.
func (a authenticator) team(h *fasthttp.RequestHeader) (string, bool) {
	if len(a.tokens) == 0 {
		return AdminTeam, true
	}
	given := []byte(strings.TrimPrefix(string(h.Peek("Authorization")), "Bearer "))
	team, ok := "", false
	for _, t := range a.tokens {
		if subtle.ConstantTimeCompare(given, []byte(t.Secret)) == 1 {
			team, ok = t.Team, true
		}
	}
	return team, ok
}

// authorizeEdit returns an error for the first change that team may not make: a
// team edits its own entries only.
func authorizeEdit(team string, s *catalogue.State, to catalogue.Document, changes []catalogue.Change) error {
	if team == AdminTeam {
		return nil
	}
	owners := map[string]string{}
	for _, e := range to.Entries {
		owners[e.Name] = e.Owner
	}
	for _, ch := range changes {
		if ch.Key.Kind != catalogue.KindEntry {
			return eris.Errorf("team %s may not change %s: a team edits its own entries only", team, ch.Key)
		}
		was, existed := s.Entries[ch.Key.Name]
		if existed && was.Value.Owner != team {
			return eris.Errorf("team %s may not change %s: its owner is %s", team, ch.Key, was.Value.Owner)
		}
		if !ch.Delete && owners[ch.Key.Name] != team {
			return eris.Errorf("team %s may not give %s to team %s", team, ch.Key, owners[ch.Key.Name])
		}
	}
	return nil
}

// visibleDocument returns the document without the entries of other teams.
func visibleDocument(team string, d catalogue.Document) catalogue.Document {
	if team == AdminTeam {
		return d
	}
	var own []catalogue.Entry
	for _, e := range d.Entries {
		if e.Owner == team {
			own = append(own, e)
		}
	}
	d.Entries = own
	return d
}
