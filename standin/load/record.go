package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is what a caller knows about the result of a write.
type Outcome string

// Outcomes of a write.
const (
	// Acknowledged writes must be present exactly once.
	Acknowledged Outcome = "acknowledged"
	// Unknown writes may be present at most once.
	Unknown Outcome = "unknown"
	// Refused writes were answered with "not run" and must be absent.
	Refused Outcome = "refused"
	// Aborted writes failed with another error before they could commit, and must be absent.
	Aborted Outcome = "aborted"
)

// Write is one write and its outcome.
type Write struct {
	ID      string
	Outcome Outcome
	// Transaction is true if the write ran in an explicit transaction.
	Transaction bool
	// Keyed is true if the write carried a request key.
	Keyed bool
	// Done is the time at which the outcome became known.
	Done time.Time
	// Err is the error of a write that was not acknowledged, empty for none.
	Err string
}

// StaleRead is a read that did not return writes acknowledged to the same session before.
type StaleRead struct {
	// Session is the name of the session.
	Session string
	// Token is true if the session passes its session token when it connects.
	Token bool
	// Address is the proxy that answered.
	Address string
	// Missing lists the sequence numbers of the absent writes.
	Missing []int
	// Done is when the answer arrived.
	Done time.Time
}

// Range of the latency histograms in microseconds, up to one minute, and their
// precision in significant digits.
const (
	histogramMin    = 1
	histogramMax    = 60_000_000
	histogramDigits = 3
)

// Record collects the results that the callers observed. Its methods are safe for concurrent use.
type Record struct {
	mu         sync.Mutex
	started    time.Time
	ended      time.Time
	lastAck    time.Time
	longestGap time.Duration
	// longestGapStart is the time from the start of the load to the longest gap.
	longestGapStart time.Duration

	writes     []Write
	staleReads []StaleRead
	counts     Counts
	writeLat   *hdrhistogram.Histogram
	readLat    *hdrhistogram.Histogram
}

// Counts holds the totals of a load.
type Counts struct {
	// Acknowledged counts acknowledged writes.
	Acknowledged int
	// Unknown counts writes of unknown outcome.
	Unknown int
	// Refused counts writes answered with "not run".
	Refused int
	// Aborted counts writes that failed before they could commit.
	Aborted int
	// Reads counts answered reads of sessions.
	Reads int
	// StatusPageReads counts answered reads of the status-page callers.
	StatusPageReads int
	// ReadsRefused counts reads answered with "not run".
	ReadsRefused int
	// ReadsFailed counts reads that failed otherwise.
	ReadsFailed int
	// Connects counts established connections.
	Connects int
	// ConnectsFailed counts connection attempts that failed.
	ConnectsFailed int
	// KeyedSettled counts keyed writes of unknown outcome that a retry got acknowledged.
	KeyedSettled int
	// KeyedRepeats counts keyed writes that were repeated after their acknowledgement.
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

// updateGap updates the longest time without an acknowledged write with the gap that
// ends now.
func (r *Record) updateGap(now time.Time) {
	if gap := now.Sub(r.lastAck); gap > r.longestGap {
		r.longestGap = gap
		r.longestGapStart = r.lastAck.Sub(r.started)
	}
}

// recordLatency records a latency, clamped to the range of the histogram.
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
	r.staleReads = append(r.staleReads, m)
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

// Counts returns a copy of the totals so far.
func (r *Record) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

// Writes returns a copy of the writes recorded so far.
func (r *Record) Writes() []Write {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Write(nil), r.writes...)
}

// StaleReads returns a copy of the stale reads recorded so far.
func (r *Record) StaleReads() []StaleRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]StaleRead(nil), r.staleReads...)
}

// SinceLastAck returns the time from the latest acknowledged write to now, or from the
// start of the load if there is none.
func (r *Record) SinceLastAck(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.lastAck)
}

// GapStart returns the time from the start of the load to the beginning of the
// longest gap.
func (r *Record) GapStart() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.longestGapStart
}

// LongestGap returns the longest time without an acknowledged write. While the
// load runs, the time since the latest acknowledged write is not included.
func (r *Record) LongestGap() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.longestGap
}

// Latency summarises the latency distribution of answered operations.
type Latency struct {
	Count  int64
	Median time.Duration
	P99    time.Duration
	Max    time.Duration
}

// Latencies returns the latencies of acknowledged writes and answered reads.
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
