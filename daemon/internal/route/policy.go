package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumgap/gypsumgap/core/admission"
	"github.com/gypsumgap/gypsumgap/core/config"
)

// Defaults for requests whose class is not configured, and for services that
// leave a setting out.
const (
	defaultDeadline      = 5 * time.Second
	defaultQueueLimit    = 100
	defaultCommitTimeout = 5 * time.Second
	defaultReplicaWait   = 20 * time.Millisecond
)

// Labels holds the service and class that an event belongs to. Class is empty
// for unclassified requests.
type Labels struct {
	Service string
	Class   string
}

// Policy holds the settings of a service that routing uses. It is immutable.
type Policy struct {
	service       string
	commitTimeout time.Duration
	replicaWait   time.Duration
	classes       map[string]*classPolicy
	unclassified  *classPolicy
}

// classPolicy holds the settings of one request class.
type classPolicy struct {
	labels     Labels
	primary    admission.Class // at the primary's limiter, and on entry hosts
	replica    admission.Class // at the limiters of replicas
	deadline   time.Duration
	repeatable bool
	read       bool
	maxAge     time.Duration
}

// NewPolicy returns the policy of a service. Requests of an unknown class get
// the lowest priority of the service's classes.
func NewPolicy(s *config.Service) *Policy {
	p := &Policy{
		service:       s.Name,
		commitTimeout: s.CommitTimeout.Std(),
		replicaWait:   s.ReplicaWait.Std(),
		classes:       make(map[string]*classPolicy, len(s.Classes)),
	}
	setDefault(&p.commitTimeout, defaultCommitTimeout)
	setDefault(&p.replicaWait, defaultReplicaWait)
	r := priorityRangeOf(s.Classes)
	for _, c := range s.Classes {
		p.classes[c.Name] = newClassPolicy(s.Name, c, r)
	}
	p.unclassified = newClassPolicy(s.Name, config.Class{Priority: r.last}, r)
	return p
}

// priorityRange is the range of a service's priorities; a smaller number is a
// higher priority.
type priorityRange struct {
	first, last int
	// firstRead is the highest priority of a read class. The connection
	// reserve on replicas is for it, as classes that write do not use replicas.
	firstRead int
}

func priorityRangeOf(classes []config.Class) priorityRange {
	if len(classes) == 0 {
		return priorityRange{}
	}
	byPriority := func(a, b config.Class) int { return cmp.Compare(a.Priority, b.Priority) }
	r := priorityRange{
		first: slices.MinFunc(classes, byPriority).Priority,
		last:  slices.MaxFunc(classes, byPriority).Priority,
	}
	r.firstRead = r.last
	for _, c := range classes {
		if c.Read {
			r.firstRead = min(r.firstRead, c.Priority)
		}
	}
	return r
}

func newClassPolicy(service string, c config.Class, r priorityRange) *classPolicy {
	if c.QueueLimit <= 0 {
		c.QueueLimit = defaultQueueLimit
	}
	admitted := admission.Class{
		Name:          service + "/" + c.Name,
		Priority:      c.Priority,
		QueueLimit:    c.QueueLimit,
		MayUseReserve: c.Priority == r.first,
	}
	p := &classPolicy{
		labels:     Labels{Service: service, Class: c.Name},
		primary:    admitted,
		replica:    admitted,
		deadline:   c.Deadline.Std(),
		repeatable: c.Repeatable,
		read:       c.Read,
		maxAge:     c.MaxAge.Std(),
	}
	p.replica.MayUseReserve = c.Priority <= r.firstRead
	setDefault(&p.deadline, defaultDeadline)
	return p
}

// class returns the policy of a class. An unknown name counts as unclassified,
// because callers may send any application_name.
func (p *Policy) class(name string) *classPolicy {
	if c := p.classes[name]; c != nil {
		return c
	}
	return p.unclassified
}

// Deadline returns the time after which a response to the request is useless.
// Forwarded requests carry it to the next host.
func (p *Policy) Deadline(r Request) time.Time {
	return p.class(r.Class).deadlineOf(&r, time.Now())
}

// deadlineOf returns the deadline of the request itself, or else that of the
// class, counted from the arrival of the request, or from now if that is unset.
func (c *classPolicy) deadlineOf(r *Request, now time.Time) time.Time {
	if !r.Deadline.IsZero() {
		return r.Deadline
	}
	if r.Arrived.IsZero() {
		return now.Add(c.deadline)
	}
	return r.Arrived.Add(c.deadline)
}
