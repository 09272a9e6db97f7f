// Package intent appends the control records that a daemon plans to append. It
// appends each record once, despite lost responses and outages of the log.
package intent

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/option"
	"greengagedeck/internal/record"
)

// Intent is a record that the daemon should append.
type Intent struct {
	// Key identifies the intent. It is the same in every plan with this intent.
	Key string
	// Shared is set if all members have the intent and one member's record is
	// enough.
	Shared bool
	Kind   record.Kind
	Cause  record.Cause
	Body   any
}

// Appender appends records to the control stream. After an error the record
// may or may not have been appended; appending the same record again is safe.
type Appender interface {
	Append(ctx context.Context, r record.Record) error
}

// Defaults of Options.
const (
	DefaultAppendTimeout = 2 * time.Second
	DefaultRetryDelay    = 200 * time.Millisecond
	// DefaultRankDelay is how long a member waits, for each member that ranks
	// before it, before it carries out a shared intent.
	DefaultRankDelay = 5 * time.Second
	// DefaultApplyTimeout is how long an appended record may take to be applied
	// to this daemon's state before a new record is appended for its intent.
	DefaultApplyTimeout = 5 * time.Second
)

// Options configures an Outbox. Author and Appender are required.
type Options struct {
	// Author is the member ID of the daemon.
	Author        string
	Appender      Appender
	AppendTimeout time.Duration
	RetryDelay    time.Duration
	RankDelay     time.Duration
	ApplyTimeout  time.Duration
	Metrics       tally.Scope
	Logger        zerolog.Logger
}

func (o Options) withDefaults() Options {
	option.Default(&o.AppendTimeout, DefaultAppendTimeout)
	option.Default(&o.RetryDelay, DefaultRetryDelay)
	option.Default(&o.RankDelay, DefaultRankDelay)
	option.Default(&o.ApplyTimeout, DefaultApplyTimeout)
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	return o
}

// Outbox holds the pending intents of one controller. It is not safe for
// concurrent use.
type Outbox struct {
	opts    Options
	pending map[string]*pendingIntent
}

// pendingIntent is an intent that this daemon is carrying out. It keeps its
// record, so that a retry after a lost response repeats the same record ID.
type pendingIntent struct {
	record    record.Record
	built     bool
	appended  bool
	notBefore time.Time
}

// NewOutbox returns an outbox without intents.
func NewOutbox(opts Options) *Outbox {
	return &Outbox{opts: opts.withDefaults(), pending: map[string]*pendingIntent{}}
}

// Send appends records for those of the given intents that are due at now, and
// drops pending intents that are no longer among them. rank is the daemon's
// position among the members of its zone: the higher it is, the longer the daemon
// leaves shared intents to other members. Send stops at the first append that
// fails, since the log is then likely to be down, and returns false.
func (o *Outbox) Send(ctx context.Context, intents []Intent, rank int, now time.Time) bool {
	o.dropObsolete(intents)
	for _, intent := range intents {
		if !o.process(ctx, intent, rank, now) {
			return false
		}
	}
	return true
}

// dropObsolete removes the pending intents that are not among intents.
func (o *Outbox) dropObsolete(intents []Intent) {
	if len(o.pending) == 0 {
		return
	}
	current := make(map[string]bool, len(intents))
	for _, intent := range intents {
		current[intent.Key] = true
	}
	for key := range o.pending {
		if !current[key] {
			delete(o.pending, key)
		}
	}
}

// process carries out one intent if it is due. It returns false if an append
// failed.
func (o *Outbox) process(ctx context.Context, intent Intent, rank int, now time.Time) bool {
	p := o.pendingFor(intent, rank, now)
	if now.Before(p.notBefore) {
		return true
	}
	if p.appended {
		// The record was applied and rejected, or it was not applied within
		// ApplyTimeout: append a new one.
		p.built, p.appended = false, false
	}
	if !p.built && !o.buildRecord(p, intent, now) {
		return true
	}
	return o.appendRecord(ctx, p, now)
}

// pendingFor returns the pending intent for an intent, and adds it if it is new.
func (o *Outbox) pendingFor(intent Intent, rank int, now time.Time) *pendingIntent {
	if p, ok := o.pending[intent.Key]; ok {
		return p
	}
	p := &pendingIntent{notBefore: now}
	if intent.Shared {
		p.notBefore = now.Add(time.Duration(rank) * o.opts.RankDelay)
	}
	o.pending[intent.Key] = p
	return p
}

// buildRecord creates the record of an intent.
func (o *Outbox) buildRecord(p *pendingIntent, intent Intent, now time.Time) bool {
	r, err := record.New(intent.Kind, o.opts.Author, now, intent.Cause, intent.Body)
	if err != nil {
		o.opts.Logger.Error().Err(err).Str("kind", string(intent.Kind)).Msg("failed to build the record")
		return false
	}
	p.record, p.built = r, true
	return true
}

// appendRecord appends the record of p and schedules the next attempt.
func (o *Outbox) appendRecord(ctx context.Context, p *pendingIntent, now time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, o.opts.AppendTimeout)
	defer cancel()
	if err := o.opts.Appender.Append(ctx, p.record); err != nil {
		o.opts.Metrics.Counter("append_errors").Inc(1)
		p.notBefore = now.Add(o.opts.RetryDelay)
		return false
	}
	tags := map[string]string{"kind": string(p.record.Kind)}
	o.opts.Metrics.Tagged(tags).Counter("records_appended").Inc(1)
	p.appended = true
	p.notBefore = now.Add(o.opts.ApplyTimeout)
	return true
}
