package settings

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "topazfall/internal/control/controlpb"
)

// The keys of a document's entries. Lists have an entry for each of their members, so that a change of one costs
// what that one costs. Entries of other keys are of a newer program and passed over.
const (
	sourcesKey   = "sources"
	addressesKey = "addresses"
	srvPrefix    = "srv/"
	teamPrefix   = "team/"
)

// ErrEntries is wrapped by what says why entries make no document.
var ErrEntries = errors.New("entries that make no settings")

// ToEntries returns a sound document as entries by key.
func ToEntries(doc *pb.Settings) (map[string][]byte, error) {
	entries := map[string][]byte{}
	var faults error
	put := func(key string, m proto.Message) {
		value, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		entries[key] = value
		faults = errors.Join(faults, err)
	}
	if s := doc.GetSources(); s != nil {
		alone := proto.CloneOf(s)
		alone.Srv = nil
		put(sourcesKey, alone)
		for _, name := range s.Srv {
			put(srvPrefix+Canonical(name.Name), name)
		}
	}
	if a := doc.GetAddresses(); a != nil {
		put(addressesKey, a)
	}
	for _, team := range doc.GetTeams() {
		put(teamPrefix+team.Name, team)
	}
	return entries, faults
}

// FromEntries returns the document that entries make, with names and teams in the order of their keys, checked as Check
// does. Its errors are Faults and those that wrap ErrEntries.
func FromEntries(entries map[string][]byte) (*pb.Settings, error) {
	doc := &pb.Settings{}
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		m := place(doc, key)
		if m == nil {
			continue
		}
		if err := (proto.UnmarshalOptions{Merge: true}).Unmarshal(entries[key], m); err != nil {
			return nil, fmt.Errorf("%w: %.64q: %w", ErrEntries, key, err)
		}
	}
	if faults := Check(doc); len(faults) > 0 {
		return nil, faults
	}
	return doc, nil
}

// place returns the part of a document that an entry is, or nil for a key that nobody knows.
func place(doc *pb.Settings, key string) proto.Message {
	switch {
	case key == sourcesKey || strings.HasPrefix(key, srvPrefix):
		if doc.Sources == nil {
			doc.Sources = &pb.Sources{}
		}
		if key == sourcesKey {
			return doc.Sources
		}
		doc.Sources.Srv = append(doc.Sources.Srv, &pb.Srv{})
		return doc.Sources.Srv[len(doc.Sources.Srv)-1]
	case key == addressesKey:
		doc.Addresses = &pb.Addresses{}
		return doc.Addresses
	case strings.HasPrefix(key, teamPrefix):
		doc.Teams = append(doc.Teams, &pb.Team{})
		return doc.Teams[len(doc.Teams)-1]
	}
	return nil
}
