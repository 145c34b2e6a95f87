package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Database identifies a database and the region preferred for its owners.
type Database struct {
	Name string
	// Region is the region whose hosts own the database if any of them is
	// eligible.
	Region string
}

// Ownership maintains the owners of many databases incrementally while hosts
// and databases are added and removed. Its results equal those of Owners.
//
// The cost of a change is proportional to what it may affect. Removing a host
// can change only the databases that it owns, which are indexed by host. An
// added host is scored once for each database of its region and can change
// only those for which it ranks before the second owner. Only the databases
// found in this way are ranked again.
//
// An Ownership is not safe for concurrent use; an Assignment is.
type Ownership struct {
	// hosts holds the eligible hosts by name.
	hosts map[string]*candidate
	// candidates holds the same hosts in any order.
	candidates []*candidate
	regions    map[string]*region
	placements map[string]*placement
	// dirty holds the placements whose owners must be computed again.
	dirty map[*placement]struct{}
	// rankCount counts the databases ranked and scoreCount the scores computed, as
	// measures of the work done.
	rankCount, scoreCount uint64
	// assignment is the last published assignment, or nil if it is out of date.
	assignment *Assignment
	// key is a buffer that avoids an allocation per score.
	key []byte
	// scores is a buffer that avoids an allocation per score.
	scores []uint64
}

// Assignment is an immutable snapshot of the owners of all databases.
type Assignment struct {
	owners map[string][]Member
}

// Owners returns the owners of a database, highest score first, or nil for an
// unknown database. The caller must not modify the result.
func (a *Assignment) Owners(database string) []Member {
	if a == nil {
		return nil
	}
	return a.owners[database]
}

// candidate is an eligible host with the databases that it owns.
type candidate struct {
	Member
	owned map[*placement]struct{}
}

// region holds the candidates and databases of one region.
type region struct {
	hosts      []*candidate
	placements map[*placement]struct{}
}

// placement is a database with its current owners.
type placement struct {
	Database
	first, second *candidate
	// secondScore is the score of second, or 0 if there is none.
	secondScore uint64
	// owners is the published form of first and second.
	owners []Member
}

// NewOwnership returns an Ownership with no hosts and no databases.
func NewOwnership() *Ownership {
	return &Ownership{
		hosts:      map[string]*candidate{},
		regions:    map[string]*region{},
		placements: map[string]*placement{},
		dirty:      map[*placement]struct{}{},
	}
}

// SetDatabases replaces the set of databases, whose names must be unique.
func (o *Ownership) SetDatabases(databases []Database) {
	listed := make(map[string]struct{}, len(databases))
	for _, d := range databases {
		listed[d.Name] = struct{}{}
		if p, ok := o.placements[d.Name]; ok {
			if p.Region == d.Region {
				continue
			}
			o.removeDatabase(p)
		}
		o.addDatabase(d)
	}
	if len(listed) != len(o.placements) {
		for name, p := range o.placements {
			if _, ok := listed[name]; !ok {
				o.removeDatabase(p)
			}
		}
	}
	o.rankDirty()
}

func (o *Ownership) addDatabase(d Database) {
	p := &placement{Database: d}
	o.placements[d.Name] = p
	o.ensureRegion(d.Region).placements[p] = struct{}{}
	o.dirty[p] = struct{}{}
}

func (o *Ownership) removeDatabase(p *placement) {
	o.clearOwners(p)
	delete(o.placements, p.Name)
	delete(o.ensureRegion(p.Region).placements, p)
	o.assignment = nil
}

// SetMembers replaces the set of members. It takes them as returned by
// Table.Members.
func (o *Ownership) SetMembers(members []Member) {
	members = eligibleMembers(members)
	listed := make(map[string]struct{}, len(members))
	var added []Member
	for _, m := range members {
		listed[m.Name] = struct{}{}
		h, ok := o.hosts[m.Name]
		switch {
		case !ok:
			added = append(added, m)
		case h.Zone != m.Zone || h.Region != m.Region:
			o.removeHost(h)
			added = append(added, m)
		case h.Member != m:
			h.Member = m
			for p := range h.owned {
				o.rebuildOwners(p)
			}
		}
	}
	if len(listed) != len(o.hosts)+len(added) {
		for name, h := range o.hosts {
			if _, ok := listed[name]; !ok {
				o.removeHost(h)
			}
		}
	}
	for _, m := range added {
		o.addHost(m)
	}
	o.rankDirty()
}

func (o *Ownership) removeHost(h *candidate) {
	delete(o.hosts, h.Name)
	o.candidates = removeCandidate(o.candidates, h)
	r := o.ensureRegion(h.Region)
	r.hosts = removeCandidate(r.hosts, h)
	for p := range h.owned {
		o.dirty[p] = struct{}{}
	}
}

// removeCandidate removes h from list in place without preserving the order.
func removeCandidate(list []*candidate, h *candidate) []*candidate {
	i := slices.Index(list, h)
	last := len(list) - 1
	list[i] = list[last]
	list[last] = nil
	return list[:last]
}

func (o *Ownership) addHost(m Member) {
	h := &candidate{Member: m, owned: map[*placement]struct{}{}}
	o.hosts[m.Name] = h
	o.candidates = append(o.candidates, h)
	home := o.ensureRegion(m.Region)
	home.hosts = append(home.hosts, h)
	for _, r := range o.regions {
		switch {
		case r == home && len(home.hosts) == 1:
			// The region had no hosts, so hosts of other regions own its databases.
			for p := range r.placements {
				o.dirty[p] = struct{}{}
			}
		case r == home || len(r.hosts) == 0:
			o.markAffected(r, h)
		}
	}
}

// markAffected marks the databases of r whose owners the added candidate may
// change.
func (o *Ownership) markAffected(r *region, h *candidate) {
	for p := range r.placements {
		if _, ok := o.dirty[p]; ok {
			continue
		}
		if p.second == nil || p.first.Zone == p.second.Zone || o.ranksBefore(p, h) {
			o.dirty[p] = struct{}{}
		}
	}
}

// ranksBefore reports whether h ranks before the second owner of p.
func (o *Ownership) ranksBefore(p *placement, h *candidate) bool {
	s := o.score(p, h)
	return s > p.secondScore || s == p.secondScore && h.Name < p.second.Name
}

// score computes rendezvousScore without an allocation per call.
func (o *Ownership) score(p *placement, h *candidate) uint64 {
	o.scoreCount++
	o.key = append(o.key[:0], p.Name...)
	o.key = append(o.key, 0)
	o.key = append(o.key, h.Name...)
	return xxhash.Sum64(o.key)
}

// rankDirty computes the owners of the dirty placements that still exist.
func (o *Ownership) rankDirty() {
	for p := range o.dirty {
		if o.placements[p.Name] == p {
			o.rank(p)
		}
	}
	clear(o.dirty)
}

// bestCandidate is the highest-ranked candidate considered so far.
type bestCandidate struct {
	host  *candidate
	score uint64
}

// consider keeps h if it ranks before the current best.
func (c *bestCandidate) consider(h *candidate, score uint64) {
	if c.host == nil || score > c.score || score == c.score && h.Name < c.host.Name {
		c.host, c.score = h, score
	}
}

// rank computes the owners of p from the candidates of its region, or from all if
// the region has none.
func (o *Ownership) rank(p *placement) {
	o.rankCount++
	o.clearOwners(p)
	hosts := o.ensureRegion(p.Region).hosts
	if len(hosts) == 0 {
		hosts = o.candidates
	}
	var first, second, secondOtherZone bestCandidate
	o.scores = o.scores[:0]
	for _, h := range hosts {
		s := o.score(p, h)
		o.scores = append(o.scores, s)
		first.consider(h, s)
	}
	for i, h := range hosts {
		if h == first.host {
			continue
		}
		second.consider(h, o.scores[i])
		if h.Zone != first.host.Zone {
			secondOtherZone.consider(h, o.scores[i])
		}
	}
	if secondOtherZone.host != nil {
		second = secondOtherZone
	}
	p.first, p.second, p.secondScore = first.host, second.host, second.score
	for _, h := range []*candidate{p.first, p.second} {
		if h != nil {
			h.owned[p] = struct{}{}
		}
	}
	o.rebuildOwners(p)
}

// clearOwners removes p from the index of its owners and leaves it without any.
func (o *Ownership) clearOwners(p *placement) {
	for _, h := range []*candidate{p.first, p.second} {
		if h != nil {
			delete(h.owned, p)
		}
	}
	p.first, p.second = nil, nil
}

// rebuildOwners makes a new slice of the owners of p, since published slices are
// immutable, and invalidates the published assignment.
func (o *Ownership) rebuildOwners(p *placement) {
	p.owners = nil
	for _, h := range []*candidate{p.first, p.second} {
		if h != nil {
			p.owners = append(p.owners, h.Member)
		}
	}
	o.assignment = nil
}

// ensureRegion returns the region with that name, which it creates if necessary.
func (o *Ownership) ensureRegion(name string) *region {
	r, ok := o.regions[name]
	if !ok {
		r = &region{placements: map[*placement]struct{}{}}
		o.regions[name] = r
	}
	return r
}

// Assignment returns the current owners of all databases. The result does not
// change afterwards and is shared until the next change.
func (o *Ownership) Assignment() *Assignment {
	if o.assignment == nil {
		owners := make(map[string][]Member, len(o.placements))
		for name, p := range o.placements {
			owners[name] = p.owners
		}
		o.assignment = &Assignment{owners: owners}
	}
	return o.assignment
}

// OwnedBy returns the sorted names of the databases that a host owns, or nil for
// a host that is not eligible.
func (o *Ownership) OwnedBy(host string) []string {
	h, ok := o.hosts[host]
	if !ok {
		return nil
	}
	names := make([]string, 0, len(h.owned))
	for p := range h.owned {
		names = append(names, p.Name)
	}
	slices.Sort(names)
	return names
}
