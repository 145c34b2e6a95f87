package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// workload is an open-loop stream of requests of several classes.
type workload struct {
	name    string
	limit   int
	classes []classLoad
}

// classLoad is the part of a workload that belongs to one class: its share of
// the requests, their deadline and their mean service time (exponentially
// distributed).
type classLoad struct {
	class    *Class
	share    float64
	deadline time.Duration
	service  time.Duration
}

// meanService is the mean service time over all classes in seconds.
func (w workload) meanService() float64 {
	mean := 0.0
	for _, l := range w.classes {
		mean += l.share * l.service.Seconds()
	}
	return mean
}

// capacity is the rate at which all connections together serve, in requests per
// second.
func (w workload) capacity() float64 { return float64(w.limit) / w.meanService() }

// discipline is a queueing discipline: it decides which request gets a
// connection next.
type discipline interface {
	arrive(now time.Time, r *simRequest)
	finish(now time.Time, r *simRequest)
	// started returns the requests that got a connection since the last call.
	started() []*simRequest
	next() (time.Time, bool)
	tick(now time.Time)
}

// simRequest is a simulated request.
type simRequest struct {
	ticket     Ticket
	classIndex int
	service    time.Duration
	counted    bool // arrived between the warm-up and simTail
}

// admissionControl is the discipline of this package.
type admissionControl struct {
	state           *State
	requests        map[*Ticket]*simRequest
	startedRequests []*simRequest
}

func (d *admissionControl) arrive(now time.Time, r *simRequest) {
	d.state.Arrive(now, &r.ticket)
	switch r.ticket.Status() {
	case Admitted:
		d.startedRequests = append(d.startedRequests, r)
	case Waiting:
		d.requests[&r.ticket] = r
	}
}

func (d *admissionControl) finish(now time.Time, r *simRequest) { d.state.Finish(now, &r.ticket) }

func (d *admissionControl) started() []*simRequest {
	for _, t := range d.state.Settled() {
		if t.Status() == Admitted {
			d.startedRequests = append(d.startedRequests, d.requests[t])
		}
		delete(d.requests, t)
	}
	begun := d.startedRequests
	d.startedRequests = nil
	return begun
}

func (d *admissionControl) next() (time.Time, bool) { return d.state.Next() }
func (d *admissionControl) tick(now time.Time)      { d.state.Tick(now) }

// fifo is the baseline discipline: one queue in order of arrival, without
// refusal.
type fifo struct {
	limit, used int
	queue       []*simRequest
}

func (d *fifo) arrive(_ time.Time, r *simRequest) { d.queue = append(d.queue, r) }
func (d *fifo) finish(time.Time, *simRequest)     { d.used-- }

func (d *fifo) started() []*simRequest {
	n := min(d.limit-d.used, len(d.queue))
	begun := d.queue[:n]
	d.queue = d.queue[n:]
	d.used += n
	return begun
}

func (d *fifo) next() (time.Time, bool) { return time.Time{}, false }
func (d *fifo) tick(time.Time)          {}

// completion is the time at which a running request finishes.
type completion struct {
	at      time.Time
	request *simRequest
}

// completions is a heap ordered by time.
type completions []completion

func (c completions) Len() int           { return len(c) }
func (c completions) Less(i, j int) bool { return c[i].at.Before(c[j].at) }
func (c completions) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *completions) Push(x any)        { *c = append(*c, x.(completion)) }
func (c *completions) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

const (
	simWarmup = 1 * time.Second
	simLength = 6 * time.Second
	// simTail is the time at the end whose requests are not counted, because
	// their deadlines lie beyond the end.
	simTail = time.Second
)

// outcome is the result of a simulation: the share of the requests of each class
// that were answered within their deadline, and the goodput, which is the rate
// of such requests over all classes per second.
type outcome struct {
	withinDeadline []float64
	goodput        float64
}

// simulate runs the workload in virtual time at a multiple of its capacity.
func simulate(w workload, multiple float64, d discipline) outcome {
	r := rand.New(rand.NewPCG(20261204, uint64(multiple*1000)))
	rate := multiple * w.capacity()
	gap := func() time.Duration { return time.Duration(r.ExpFloat64() / rate * float64(time.Second)) }
	var running completions
	offered := make([]int, len(w.classes))
	good := make([]int, len(w.classes))
	end := epoch.Add(simWarmup + simLength)
	arrival := epoch.Add(gap())
	for {
		now := arrival
		if len(running) > 0 && running[0].at.Before(now) {
			now = running[0].at
		}
		if at, ok := d.next(); ok && at.Before(now) {
			now = at
		}
		if now.After(end) {
			break
		}
		switch {
		case now.Equal(arrival):
			q := newSimRequest(w, r, now)
			if q.counted {
				offered[q.classIndex]++
			}
			d.arrive(now, q)
			arrival = now.Add(gap())
		case len(running) > 0 && now.Equal(running[0].at):
			q := heap.Pop(&running).(completion).request
			d.finish(now, q)
			if q.counted && !now.After(q.ticket.Deadline) {
				good[q.classIndex]++
			}
		default:
			d.tick(now)
		}
		for _, q := range d.started() {
			heap.Push(&running, completion{at: now.Add(q.service), request: q})
		}
	}
	var o outcome
	for i := range w.classes {
		o.withinDeadline = append(o.withinDeadline, float64(good[i])/float64(max(1, offered[i])))
		o.goodput += float64(good[i]) / (simLength - simTail).Seconds()
	}
	return o
}

func newSimRequest(w workload, r *rand.Rand, now time.Time) *simRequest {
	pick := r.Float64()
	i := 0
	for pick >= w.classes[i].share && i < len(w.classes)-1 {
		pick -= w.classes[i].share
		i++
	}
	l := w.classes[i]
	q := &simRequest{
		classIndex: i,
		service:    time.Duration(r.ExpFloat64() * float64(l.service)),
		counted:    now.After(epoch.Add(simWarmup)) && now.Before(epoch.Add(simWarmup+simLength-simTail)),
	}
	q.ticket.Class = l.class
	q.ticket.Deadline = now.Add(l.deadline)
	return q
}

func workloads() []workload {
	simPay := &Class{Name: "pay", Priority: 0, QueueLimit: 200, MayUseReserve: true}
	simBook := &Class{Name: "book", Priority: 1, QueueLimit: 100}
	simReport := &Class{Name: "report", Priority: 2, QueueLimit: 100}
	mixed := func(payShare float64, service time.Duration) []classLoad {
		return []classLoad{
			{simPay, payShare, 500 * time.Millisecond, service},
			{simBook, (1 - payShare) / 2, time.Second, service},
			{simReport, (1 - payShare) / 2, time.Second, service},
		}
	}
	uneven := mixed(0.2, 5*time.Millisecond)
	uneven[2].service = 60 * time.Millisecond
	return []workload{
		{"limit 27, a fifth pay", 27, mixed(0.2, 10*time.Millisecond)},
		{"limit 84, a fifth pay", 84, mixed(0.2, 10*time.Millisecond)},
		{"limit 5, a fifth pay", 5, mixed(0.2, 10*time.Millisecond)},
		{"limit 27, a fifth pay, slow reports", 27, uneven},
		{"limit 27, quarter pay, slow service", 27, mixed(0.25, 50*time.Millisecond)},
	}
}

var multiples = []float64{0.5, 0.8, 1, 1.5, 3}

// Guards against an overload in which requests of the first class miss their
// deadlines, or in which connections are spent on answers that are too late.
func TestOverloadGoal(t *testing.T) {
	for _, w := range workloads() {
		t.Run(w.name, func(t *testing.T) {
			limited := sweep(w, func() discipline {
				return &admissionControl{state: NewState(w.limit), requests: map[*Ticket]*simRequest{}}
			})
			baseline := sweep(w, func() discipline { return &fifo{limit: w.limit} })
			t.Logf("admission: %s", limited)
			t.Logf("fifo:      %s", baseline)
			if limited.withinDeadline < 0.99 {
				t.Errorf("at 3 times capacity: got %.2f%% of the first class within the deadline, want at least 99%%", 100*limited.withinDeadline)
			}
			if limited.ofPeak < 0.9 {
				t.Errorf("at 3 times capacity: got a goodput of %.1f%% of its peak, want at least 90%%", 100*limited.ofPeak)
			}
			if baseline.withinDeadline >= 0.99 && baseline.ofPeak >= 0.9 {
				t.Error("the baseline reaches the goal too, so this workload does not test admission control")
			}
		})
	}
}

// overloadStats describes one discipline at three times the capacity.
type overloadStats struct {
	withinDeadline float64 // share of the first class
	others         []float64
	goodput        float64
	peak           float64
	ofPeak         float64
	capacity       float64
}

func (f overloadStats) String() string {
	return fmt.Sprintf("first class %.2f%%, others %.3f, goodput %.0f/s of peak %.0f/s (%.1f%%), capacity %.0f/s",
		100*f.withinDeadline, f.others, f.goodput, f.peak, 100*f.ofPeak, f.capacity)
}

// sweep simulates the workload at all multiples of its capacity.
func sweep(w workload, make func() discipline) overloadStats {
	f := overloadStats{capacity: w.capacity()}
	for _, multiple := range multiples {
		o := simulate(w, multiple, make())
		f.peak = max(f.peak, o.goodput)
		f.goodput = o.goodput
		f.withinDeadline = o.withinDeadline[0]
		f.others = o.withinDeadline[1:]
	}
	f.ofPeak = f.goodput / f.peak
	return f
}

// BenchmarkOverload reports the results of TestOverloadGoal next to those of the
// baseline.
func BenchmarkOverload(b *testing.B) {
	w := workloads()[0]
	for b.Loop() {
		limited := sweep(w, func() discipline {
			return &admissionControl{state: NewState(w.limit), requests: map[*Ticket]*simRequest{}}
		})
		baseline := sweep(w, func() discipline { return &fifo{limit: w.limit} })
		b.ReportMetric(100*limited.withinDeadline, "%first_class")
		b.ReportMetric(100*limited.ofPeak, "%of_peak")
		b.ReportMetric(100*baseline.withinDeadline, "%first_class_fifo")
		b.ReportMetric(100*baseline.ofPeak, "%of_peak_fifo")
	}
}

// BenchmarkArriveFinish measures a request that finds a free connection.
func BenchmarkArriveFinish(b *testing.B) {
	s := NewState(10)
	t := &Ticket{Class: pay, Deadline: epoch.Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		s.Arrive(epoch, t)
		s.Finish(epoch, t)
	}
}
