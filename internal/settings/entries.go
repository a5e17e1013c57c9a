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

// Keys of a document's entries. Each member of a list has an entry of its own, so that a change transfers only the
// members that change. Entries with other keys come from a newer program and are ignored.
const (
	sourcesKey   = "sources"
	addressesKey = "addresses"
	srvPrefix    = "srv/"
	teamPrefix   = "team/"
)

// ErrInvalidEntries is wrapped by the errors of entries that cannot be decoded.
var ErrInvalidEntries = errors.New("entries cannot be decoded as settings")

// ToEntries returns a valid document as entries by key.
func ToEntries(doc *pb.Settings) (map[string][]byte, error) {
	entries := map[string][]byte{}
	var faults error
	add := func(key string, m proto.Message) {
		value, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		entries[key] = value
		faults = errors.Join(faults, err)
	}
	if s := doc.GetSources(); s != nil {
		withoutNames := proto.CloneOf(s)
		withoutNames.Srv = nil
		add(sourcesKey, withoutNames)
		for _, name := range s.Srv {
			add(srvPrefix+CanonicalName(name.Name), name)
		}
	}
	if a := doc.GetAddresses(); a != nil {
		add(addressesKey, a)
	}
	for _, team := range doc.GetTeams() {
		add(teamPrefix+team.Name, team)
	}
	return entries, faults
}

// FromEntries returns the document of these entries, with names and teams in the order of their keys, after Check has
// found no fault in it. Its errors are Faults and those that wrap ErrInvalidEntries.
func FromEntries(entries map[string][]byte) (*pb.Settings, error) {
	doc := &pb.Settings{}
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		m := targetOf(doc, key)
		if m == nil {
			continue
		}
		if err := (proto.UnmarshalOptions{Merge: true}).Unmarshal(entries[key], m); err != nil {
			return nil, fmt.Errorf("%w: %.64q: %w", ErrInvalidEntries, key, err)
		}
	}
	if faults := Check(doc); len(faults) > 0 {
		return nil, faults
	}
	return doc, nil
}

// targetOf returns the part of a document that the entry of a key is decoded into, or nil for an unknown key.
func targetOf(doc *pb.Settings, key string) proto.Message {
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
