package burn

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/platform"
	"greengagedeck/internal/record"
)

const (
	// publishSpread is the part of each minute over which the appends of the
	// daemons are spread.
	publishSpread = 20 * time.Second
	// defaultMaxPending is the number of minutes that are kept in memory while
	// the log is down.
	defaultMaxPending = 12 * 60
	// stopTimeout bounds the final append of a stopping daemon.
	stopTimeout       = 2 * time.Second
	minAppendBackoff  = time.Second
	maxAppendBackoff  = 30 * time.Second
	appendTimeout     = 10 * time.Second
	readTimeout       = 30 * time.Second
	readLimit         = 256
	maxRollupMessages = 16
)

// PublisherOptions configures a Publisher.
type PublisherOptions struct {
	// Daemon is the ID of the daemon's current incarnation.
	Daemon string
	// Counter is read and emptied every minute.
	Counter *Counter
	// Log is the platform's log.
	Log platform.Log
	// MaxPending is the number of minutes that are kept in memory while the
	// log is down; 0 means half a day. The oldest are dropped first.
	MaxPending int
	// Metrics and Logger are optional.
	Metrics tally.Scope
	Logger  zerolog.Logger
}

// Publisher appends one summary of this daemon to the burn stream each minute.
type Publisher struct {
	opts    PublisherOptions
	metrics *metrics
	pending []pendingSummary
	logDown bool
}

type pendingSummary struct {
	summary Summary
	bytes   int
}

// NewPublisher returns a publisher. It publishes while Run is running.
func NewPublisher(opts PublisherOptions) *Publisher {
	if opts.MaxPending <= 0 {
		opts.MaxPending = defaultMaxPending
	}
	return &Publisher{opts: opts, metrics: newMetrics(opts.Metrics)}
}

// Run publishes every minute until ctx is done, and then once more, including
// the minute that has not ended.
func (p *Publisher) Run(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = minAppendBackoff, maxAppendBackoff
	wait := p.untilNextPublish(time.Now())
	for {
		select {
		case <-ctx.Done():
			p.publishFinal(ctx)
			return
		case <-time.After(wait):
		}
		p.collect(p.opts.Counter.Take(time.Now()))
		if p.flush(ctx) {
			pause.Reset()
			wait = p.untilNextPublish(time.Now())
		} else {
			wait = pause.NextBackOff()
		}
	}
}

// untilNextPublish returns the time until this daemon's publishing time in the
// next minute, which is derived from the hash of its ID.
func (p *Publisher) untilNextPublish(now time.Time) time.Duration {
	offset := time.Duration(xxhash.Sum64String(p.opts.Daemon) % uint64(publishSpread))
	return now.Truncate(time.Minute).Add(time.Minute + offset).Sub(now)
}

func (p *Publisher) publishFinal(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	p.collect(p.opts.Counter.TakeAll(time.Now()))
	p.flush(ctx)
}

// collect adds minutes to the pending summaries and drops the oldest ones
// beyond MaxPending.
func (p *Publisher) collect(minutes []Minute) {
	for _, m := range minutes {
		s := Summary{Daemon: p.opts.Daemon, Minute: m}
		data, err := record.Encode(s)
		if err != nil {
			p.metrics.dropped.Inc(1)
			continue
		}
		p.pending = append(p.pending, pendingSummary{summary: s, bytes: len(data)})
	}
	if over := len(p.pending) - p.opts.MaxPending; over > 0 {
		p.metrics.dropped.Inc(int64(over))
		p.pending = p.pending[over:]
	}
	p.metrics.pending.Update(float64(len(p.pending)))
}

// flush appends the pending summaries and reports whether all of them are in the
// log. A summary stays pending until its append is known to have succeeded;
// readers ignore the copies that this may cause.
func (p *Publisher) flush(ctx context.Context) bool {
	for len(p.pending) > 0 {
		m, n := p.nextMessage()
		if err := appendMessage(ctx, p.opts.Log, m, time.Now()); err != nil {
			p.metrics.appendFailures.Inc(1)
			p.setLogDown(true, err)
			return false
		}
		p.metrics.appends.Inc(1)
		p.pending = p.pending[n:]
		p.setLogDown(false, nil)
	}
	p.metrics.pending.Update(0)
	return true
}

// nextMessage returns a message with the n oldest pending summaries, limited by
// messageTargetBytes and maxMessageItems.
func (p *Publisher) nextMessage() (m Message, n int) {
	size := 0
	for _, s := range p.pending {
		if n > 0 && (size+s.bytes > messageTargetBytes || n == maxMessageItems) {
			break
		}
		m.Summaries = append(m.Summaries, s.summary)
		size += s.bytes
		n++
	}
	return m, n
}

// setLogDown writes a log line when appends start to fail and when they succeed
// again.
func (p *Publisher) setLogDown(down bool, err error) {
	if p.logDown == down {
		return
	}
	p.logDown = down
	if down {
		p.opts.Logger.Warn().Err(err).Msg("appending burn summaries failed: keeping them in memory until the log is available")
	} else {
		p.opts.Logger.Info().Msg("appending burn summaries succeeds again")
	}
}

func appendMessage(ctx context.Context, log platform.Log, m Message, now time.Time) error {
	m.At = minuteOf(now)
	data, err := encodeMessage(m)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = log.Append(ctx, platform.StreamBurn, data)
	return err
}
