package route

import (
	"time"

	"github.com/gypsumgap/gypsumgap/core/admission"
	"github.com/gypsumgap/gypsumgap/core/config"
)

// Settings of requests whose class the configuration does not list, and of
// services that leave a value out.
const (
	defaultDeadline      = 5 * time.Second
	defaultQueueLimit    = 100
	defaultCommitTimeout = 5 * time.Second
	defaultReplicaWait   = 20 * time.Millisecond
)

// Labels say which service and class an event belongs to; Class is empty for
// unclassified requests.
type Labels struct {
	Service string
	Class   string
}

// Policy is what routing needs of a service's configuration. It is immutable.
type Policy struct {
	service       string
	commitTimeout time.Duration
	replicaWait   time.Duration
	classes       map[string]*classPolicy
	unclassified  *classPolicy
}

type classPolicy struct {
	labels     Labels
	admission  admission.Class
	deadline   time.Duration
	repeatable bool
	read       bool
	maxAge     time.Duration
}

// NewPolicy prepares a service's configuration for routing. Requests of no
// listed class get the priority of the service's last class.
func NewPolicy(s *config.Service) *Policy {
	p := &Policy{
		service:       s.Name,
		commitTimeout: s.CommitTimeout.Std(),
		replicaWait:   s.ReplicaWait.Std(),
		classes:       make(map[string]*classPolicy, len(s.Classes)),
	}
	setDefault(&p.commitTimeout, defaultCommitTimeout)
	setDefault(&p.replicaWait, defaultReplicaWait)
	first, last := priorities(s.Classes)
	for _, c := range s.Classes {
		p.classes[c.Name] = newClassPolicy(s.Name, c, first)
	}
	p.unclassified = newClassPolicy(s.Name, config.Class{Priority: last}, first)
	return p
}

func priorities(classes []config.Class) (first, last int) {
	for i, c := range classes {
		if i == 0 {
			first, last = c.Priority, c.Priority
		}
		first = min(first, c.Priority)
		last = max(last, c.Priority)
	}
	return first, last
}

func newClassPolicy(service string, c config.Class, first int) *classPolicy {
	p := &classPolicy{
		labels: Labels{Service: service, Class: c.Name},
		admission: admission.Class{
			Name:       service + "/" + c.Name,
			Priority:   c.Priority,
			QueueLimit: c.QueueLimit,
			Top:        c.Priority == first,
		},
		deadline:   c.Deadline.Std(),
		repeatable: c.Repeatable,
		read:       c.Read,
		maxAge:     c.MaxAge.Std(),
	}
	setDefault(&p.deadline, defaultDeadline)
	if p.admission.QueueLimit <= 0 {
		p.admission.QueueLimit = defaultQueueLimit
	}
	return p
}

// class returns the policy of a class; a name that is not listed, which may be
// any application_name, counts as unclassified.
func (p *Policy) class(name string) *classPolicy {
	if c := p.classes[name]; c != nil {
		return c
	}
	return p.unclassified
}

// deadlineOf returns when an answer to the request is no longer of use.
func (c *classPolicy) deadlineOf(r *Request, now time.Time) time.Time {
	if !r.Deadline.IsZero() {
		return r.Deadline
	}
	if r.Arrived.IsZero() {
		return now.Add(c.deadline)
	}
	return r.Arrived.Add(c.deadline)
}
