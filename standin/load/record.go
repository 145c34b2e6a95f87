package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is what a caller knows of a write.
type Outcome string

// The outcomes.
const (
	// Acknowledged writes must be present exactly once.
	Acknowledged Outcome = "acknowledged"
	// Unknown writes may be present, at most once.
	Unknown Outcome = "unknown"
	// Refused writes were answered with "not run" and must be absent.
	Refused Outcome = "refused"
	// Aborted writes failed with another error, before anything could commit, and must be absent.
	Aborted Outcome = "aborted"
)

// Write is one write and its outcome.
type Write struct {
	ID      string
	Outcome Outcome
	// Transaction says that the write was in an explicit transaction.
	Transaction bool
	// Keyed says that the write had a request key.
	Keyed bool
	// Done is when the outcome was known.
	Done time.Time
	// Err is the error of a write that was not acknowledged.
	Err string
}

// StaleRead is a session's read that lacked writes acknowledged to it before.
type StaleRead struct {
	Session string
	// Token says whether the session had handed over its token.
	Token   bool
	Address string
	// Missing lists the sequence numbers that were absent.
	Missing []int
	Done    time.Time
}

const (
	histogramMin    = 1
	histogramMax    = 60_000_000
	histogramDigits = 3
)

// Record collects what the callers saw. Its methods are safe for concurrent use.
type Record struct {
	mu      sync.Mutex
	started time.Time
	ended   time.Time
	lastAck time.Time
	longest time.Duration
	// longestStart counts from the start of the load.
	longestStart time.Duration
	writes       []Write
	missed       []StaleRead
	counts       Counts
	writeLat     *hdrhistogram.Histogram
	readLat      *hdrhistogram.Histogram
}

// Counts are totals of a load.
type Counts struct {
	Acknowledged int
	Unknown      int
	Refused      int
	Aborted      int
	// Reads counts reads by sessions that were answered, and StatusPageReads those of the class.
	Reads           int
	StatusPageReads int
	// ReadsRefused counts reads answered with "not run", and ReadsFailed those with another failure.
	ReadsRefused int
	ReadsFailed  int
	// Connects and ConnectsFailed count connections.
	Connects       int
	ConnectsFailed int
	// KeyedSettled counts keyed writes that were in doubt and then acknowledged,
	// KeyedRepeats those that were repeated after their acknowledgement.
	KeyedSettled int
	KeyedRepeats int
}

func newRecord(now time.Time) *Record {
	return &Record{
		started: now, lastAck: now,
		writeLat: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		readLat:  hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
}

func (r *Record) addWrite(w Write, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes = append(r.writes, w)
	switch w.Outcome {
	case Acknowledged:
		r.counts.Acknowledged++
		r.updateGap(w.Done)
		r.lastAck = w.Done
		recordLatency(r.writeLat, took)
	case Unknown:
		r.counts.Unknown++
	case Refused:
		r.counts.Refused++
	case Aborted:
		r.counts.Aborted++
	}
}

// updateGap notes the time without an accepted write that ends now.
func (r *Record) updateGap(now time.Time) {
	if gap := now.Sub(r.lastAck); gap > r.longest {
		r.longest = gap
		r.longestStart = r.lastAck.Sub(r.started)
	}
}

// recordLatency notes a latency; one beyond the histogram's range counts as the highest.
func recordLatency(h *hdrhistogram.Histogram, took time.Duration) {
	_ = h.RecordValue(min(max(took.Microseconds(), histogramMin), histogramMax))
}

func (r *Record) addRead(statusPage bool, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if statusPage {
		r.counts.StatusPageReads++
	} else {
		r.counts.Reads++
	}
	recordLatency(r.readLat, took)
}

func (r *Record) addStaleRead(m StaleRead) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.missed = append(r.missed, m)
}

func (r *Record) updateCounts(change func(*Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.counts)
}

func (r *Record) finish(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = now
	if r.counts.Acknowledged+r.counts.Unknown+r.counts.Refused+r.counts.Aborted > 0 {
		r.updateGap(now)
	}
}

// Counts returns the totals so far.
func (r *Record) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

// Writes returns a copy of the writes so far.
func (r *Record) Writes() []Write {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Write(nil), r.writes...)
}

// StaleReads returns a copy of the reads so far that lacked acknowledged writes.
func (r *Record) StaleReads() []StaleRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]StaleRead(nil), r.missed...)
}

// SinceLastAck returns the time since the latest accepted write.
func (r *Record) SinceLastAck(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.lastAck)
}

// GapStart returns when the longest gap began, counted from the start of the load.
func (r *Record) GapStart() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.longestStart
}

// LongestGap returns the longest time without an accepted write, from the
// start of the load to its end or, while it runs, to the latest accepted write.
func (r *Record) LongestGap() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.longest
}

// Latency is the distribution of the times of answered operations.
type Latency struct {
	Count  int64
	Median time.Duration
	P99    time.Duration
	Max    time.Duration
}

// Latencies returns the distributions of acknowledged writes and answered reads.
func (r *Record) Latencies() (writes, reads Latency) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return summarise(r.writeLat), summarise(r.readLat)
}

func summarise(h *hdrhistogram.Histogram) Latency {
	at := func(percent float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
	}
	return Latency{
		Count: h.TotalCount(), Median: at(50), P99: at(99),
		Max: time.Duration(h.Max()) * time.Microsecond,
	}
}
