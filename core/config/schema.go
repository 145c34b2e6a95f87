package config

import (
	"slices"
	"strings"
)

// kind is the type of a value in a configuration file.
type kind int

const (
	kindText kind = iota
	kindInteger
	kindDuration
	kindBool
	// kindShare is a number from 0 to 1.
	kindShare
	// kindMapping has a fixed set of keys.
	kindMapping
	// kindNamedMapping is a mapping whose keys are names chosen by the operator.
	kindNamedMapping
	// kindList is a list that a later file replaces as a whole.
	kindList
	// kindNamedList is a list whose items are merged by name.
	kindNamedList
)

// expected describes a valid value of the kind for a message.
func (k kind) expected() string {
	switch k {
	case kindText:
		return "text"
	case kindInteger:
		return "a whole number, such as 45"
	case kindDuration:
		return `a duration with a unit, such as "250ms" or "5s"`
	case kindBool:
		return "true or false"
	case kindShare:
		return "a number from 0 to 1, such as 0.999"
	case kindMapping, kindNamedMapping:
		return "a mapping of keys to values"
	default:
		return "a list"
	}
}

// schema describes the valid form of a value.
type schema struct {
	kind kind
	// fields are the keys of a kindMapping.
	fields []field
	// item describes the items of a list or the values of a kindNamedMapping.
	item *schema
	// nameKey is the key that names an item of a kindNamedList.
	nameKey string
	// label denotes the value in messages, for example "database".
	label string
}

// field is a key of a mapping.
type field struct {
	name   string
	schema *schema
	// required is true if the key must be present after the merge.
	required bool
}

// field returns the field with that name, and whether there is one.
func (s *schema) field(name string) (field, bool) {
	i := slices.IndexFunc(s.fields, func(f field) bool { return f.name == name })
	if i < 0 {
		return field{}, false
	}
	return s.fields[i], true
}

var (
	textSchema     = &schema{kind: kindText}
	integerSchema  = &schema{kind: kindInteger}
	durationSchema = &schema{kind: kindDuration}
	booleanSchema  = &schema{kind: kindBool}
	shareSchema    = &schema{kind: kindShare}
)

var slotSchema = &schema{kind: kindMapping, label: "slot", fields: []field{
	{name: keyID, schema: textSchema, required: true},
	{name: keyAddress, schema: textSchema, required: true},
	{name: keyZone, schema: textSchema, required: true},
	{name: keyRegion, schema: textSchema, required: true},
}}

var databaseSchema = &schema{kind: kindMapping, label: "database", fields: []field{
	{name: keyName, schema: textSchema, required: true},
	{name: keyConnectionLimit, schema: integerSchema, required: true},
	{name: keySlots, schema: &schema{kind: kindList, item: slotSchema}, required: true},
}}

var classSchema = &schema{kind: kindMapping, label: "class", fields: []field{
	{name: keyName, schema: textSchema, required: true},
	{name: keyPriority, schema: integerSchema, required: true},
	{name: keyDeadline, schema: durationSchema},
	{name: keyRepeatable, schema: booleanSchema},
	{name: keyRead, schema: booleanSchema},
	{name: keyMaxAge, schema: durationSchema},
	{name: keyQueueLimit, schema: integerSchema},
}}

var callerSchema = &schema{kind: kindMapping, label: "caller", fields: []field{
	{name: keyUser, schema: textSchema, required: true},
	{name: keyVerifier, schema: textSchema, required: true},
}}

var failoverSchema = &schema{kind: kindMapping, fields: []field{
	{name: keyProbeIdle, schema: durationSchema},
	{name: keyProbeSuspect, schema: durationSchema},
	{name: keyMisses, schema: integerSchema},
}}

var objectivesSchema = &schema{kind: kindMapping, fields: []field{
	{name: keyAnsweredWithin, schema: durationSchema},
	{name: keyAnsweredShare, schema: shareSchema},
	{name: keyWritableShare, schema: shareSchema},
	{name: keyReplicaReadShare, schema: shareSchema},
}}

var serviceSchema = &schema{kind: kindMapping, label: "service", fields: []field{
	{name: keyCommitTimeout, schema: durationSchema},
	{name: keyReplicaWait, schema: durationSchema},
	{name: keyFailover, schema: failoverSchema},
	{name: keyObjectives, schema: objectivesSchema},
	{name: keyCallers, schema: &schema{kind: kindNamedList, item: callerSchema, nameKey: keyUser}, required: true},
	{name: keyDatabases, schema: &schema{kind: kindNamedList, item: databaseSchema, nameKey: keyName}, required: true},
	{name: keyClasses, schema: &schema{kind: kindNamedList, item: classSchema, nameKey: keyName}},
}}

var fileSchema = &schema{kind: kindMapping, fields: []field{
	{name: keyServices, schema: &schema{kind: kindNamedMapping, item: serviceSchema, label: "service"}, required: true},
}}

// The keys of the configuration files.
const (
	keyServices         = "services"
	keyName             = "name"
	keyCommitTimeout    = "commit_timeout"
	keyReplicaWait      = "replica_wait"
	keyFailover         = "failover"
	keyProbeIdle        = "probe_idle"
	keyProbeSuspect     = "probe_suspect"
	keyMisses           = "misses"
	keyObjectives       = "objectives"
	keyAnsweredWithin   = "answered_within"
	keyAnsweredShare    = "answered_share"
	keyWritableShare    = "writable_share"
	keyReplicaReadShare = "replica_read_share"
	keyCallers          = "callers"
	keyUser             = "user"
	keyVerifier         = "verifier"
	keyDatabases        = "databases"
	keyConnectionLimit  = "connection_limit"
	keySlots            = "slots"
	keyID               = "id"
	keyAddress          = "address"
	keyZone             = "zone"
	keyRegion           = "region"
	keyClasses          = "classes"
	keyPriority         = "priority"
	keyDeadline         = "deadline"
	keyRepeatable       = "repeatable"
	keyRead             = "read"
	keyMaxAge           = "max_age"
	keyQueueLimit       = "queue_limit"
)

// nearestKey returns the key of s with the smallest edit distance to name, or ""
// if the distance exceeds half the length of name.
func (s *schema) nearestKey(name string) string {
	best, bestDistance := "", len(name)/2+1
	for _, f := range s.fields {
		if d := editDistance(strings.ToLower(name), f.name); d < bestDistance {
			best, bestDistance = f.name, d
		}
	}
	return best
}

// keyList returns the keys of s, separated by commas, for a message.
func (s *schema) keyList() string {
	names := make([]string, len(s.fields))
	for i, f := range s.fields {
		names[i] = f.name
	}
	return strings.Join(names, ", ")
}

// editDistance returns the Levenshtein distance of a and b in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substitute := diagonal
			if a[i] != b[j] {
				substitute++
			}
			diagonal = row[j+1]
			row[j+1] = min(substitute, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
