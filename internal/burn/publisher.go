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
	// publishSpread spreads the daemons' appends over the minute.
	publishSpread = 20 * time.Second
	// defaultMaxPending is how many minutes are kept back while the log is
	// down.
	defaultMaxPending = 12 * 60
	// stopTimeout bounds the last append of a daemon that stops.
	stopTimeout     = 2 * time.Second
	minAppendPause  = time.Second
	maxAppendPause  = 30 * time.Second
	appendTimeout   = 10 * time.Second
	readTimeout     = 30 * time.Second
	readLimit       = 256
	maxRollMessages = 16
)

// PublisherOptions configures a Publisher.
type PublisherOptions struct {
	// Daemon is the ID of this incarnation of the daemon.
	Daemon string
	// Counter is drained every minute.
	Counter *Counter
	// Log is the platform's log.
	Log platform.Log
	// MaxPending is how many minutes are kept back while the log is down,
	// 0 for half a day. The oldest are dropped first.
	MaxPending int
	// Metrics and Logger may be left out.
	Metrics tally.Scope
	Logger  zerolog.Logger
}

// Publisher appends one summary of this daemon to the burn stream each minute.
type Publisher struct {
	opts    PublisherOptions
	metrics *metrics
	pending []pendingSummary
	down    bool
}

type pendingSummary struct {
	summary Summary
	bytes   int
}

// NewPublisher returns a publisher; Run makes it work.
func NewPublisher(opts PublisherOptions) *Publisher {
	if opts.MaxPending <= 0 {
		opts.MaxPending = defaultMaxPending
	}
	return &Publisher{opts: opts, metrics: newMetrics(opts.Metrics)}
}

// Run publishes until ctx is done and then once more, with the minute that has
// not ended.
func (p *Publisher) Run(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = minAppendPause, maxAppendPause
	wait := p.untilNext(time.Now())
	for {
		select {
		case <-ctx.Done():
			p.stop(ctx)
			return
		case <-time.After(wait):
		}
		p.collect(p.opts.Counter.Take(time.Now()))
		if p.flush(ctx) {
			pause.Reset()
			wait = p.untilNext(time.Now())
		} else {
			wait = pause.NextBackOff()
		}
	}
}

// untilNext returns the time to this daemon's place in the next minute.
func (p *Publisher) untilNext(now time.Time) time.Duration {
	spread := time.Duration(xxhash.Sum64String(p.opts.Daemon) % uint64(publishSpread))
	return now.Truncate(time.Minute).Add(time.Minute + spread).Sub(now)
}

func (p *Publisher) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	p.collect(p.opts.Counter.TakeAll(time.Now()))
	p.flush(ctx)
}

// collect adds minutes to what has to be appended.
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

// flush appends what is pending and reports whether all of it is in the log. A
// summary stays pending until its append has succeeded for certain: a copy
// changes nothing for readers.
func (p *Publisher) flush(ctx context.Context) bool {
	for len(p.pending) > 0 {
		m, n := p.nextMessage()
		if err := appendMessage(ctx, p.opts.Log, m, time.Now()); err != nil {
			p.metrics.appendFailures.Inc(1)
			p.setDown(true, err)
			return false
		}
		p.metrics.appends.Inc(1)
		p.pending = p.pending[n:]
		p.setDown(false, nil)
	}
	p.metrics.pending.Update(0)
	return true
}

// nextMessage returns a message with the n oldest pending summaries.
func (p *Publisher) nextMessage() (m Message, n int) {
	size := 0
	for _, s := range p.pending {
		if n > 0 && (size+s.bytes > messageTargetBytes || n == maxMessageSpans) {
			break
		}
		m.Summaries = append(m.Summaries, s.summary)
		size += s.bytes
		n++
	}
	return m, n
}

// setDown logs a change between a log that takes summaries and one that does
// not.
func (p *Publisher) setDown(down bool, err error) {
	if p.down == down {
		return
	}
	p.down = down
	if down {
		p.opts.Logger.Warn().Err(err).Msg("burn summaries kept back: the log takes none")
	} else {
		p.opts.Logger.Info().Msg("burn summaries are appended again")
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
