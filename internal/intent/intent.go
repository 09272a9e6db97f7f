// Package intent appends the control records that a daemon intends, each once,
// through lost answers and outages of the log.
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
	// Key names what is intended, the same in every plan that intends it.
	Key string
	// Shared intents are every member's; one member's record is enough.
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
	DefaultRetry         = 200 * time.Millisecond
	// DefaultHandover is how long each member leaves a shared intent to the
	// members that come before it.
	DefaultHandover = 5 * time.Second
	// DefaultHold is how long an appended record may take to be folded here
	// before what it intended is tried again.
	DefaultHold = 5 * time.Second
)

// Options configures an Outbox. Author and Appender are required.
type Options struct {
	// Author is the member ID of the daemon.
	Author        string
	Appender      Appender
	AppendTimeout time.Duration
	Retry         time.Duration
	Handover      time.Duration
	Hold          time.Duration
	Metrics       tally.Scope
	Logger        zerolog.Logger
}

func (o Options) withDefaults() Options {
	option.Default(&o.AppendTimeout, DefaultAppendTimeout)
	option.Default(&o.Retry, DefaultRetry)
	option.Default(&o.Handover, DefaultHandover)
	option.Default(&o.Hold, DefaultHold)
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	return o
}

// Outbox holds the intents of one controller while they are being carried out.
// It is not safe for concurrent use.
type Outbox struct {
	opts    Options
	pending map[string]*pending
}

// pending is an intent that this daemon carries out. It keeps its record, so
// that a retry after a lost answer repeats the same record ID.
type pending struct {
	record    record.Record
	built     bool
	appended  bool
	notBefore time.Time
}

// NewOutbox returns an outbox without intents.
func NewOutbox(opts Options) *Outbox {
	return &Outbox{opts: opts.withDefaults(), pending: map[string]*pending{}}
}

// Send carries out what is due at now of all that is intended, and forgets
// what is no longer intended. rank is the daemon's place among the members of
// its zone: the later it comes, the longer it leaves shared intents to others.
// Send stops at the first append that fails, since the log is then likely to
// be down, and reports false.
func (o *Outbox) Send(ctx context.Context, intents []Intent, rank int, now time.Time) bool {
	o.forget(intents)
	for _, intent := range intents {
		if !o.carryOut(ctx, intent, rank, now) {
			return false
		}
	}
	return true
}

func (o *Outbox) forget(intents []Intent) {
	if len(o.pending) == 0 {
		return
	}
	wanted := make(map[string]bool, len(intents))
	for _, intent := range intents {
		wanted[intent.Key] = true
	}
	for key := range o.pending {
		if !wanted[key] {
			delete(o.pending, key)
		}
	}
}

// carryOut reports false when an append failed.
func (o *Outbox) carryOut(ctx context.Context, intent Intent, rank int, now time.Time) bool {
	p := o.pendingFor(intent, rank, now)
	if now.Before(p.notBefore) {
		return true
	}
	if p.appended {
		// The record was folded and turned down, or it never shows here:
		// it is time for another one.
		p.built, p.appended = false, false
	}
	if !p.built && !o.build(p, intent, now) {
		return true
	}
	return o.append(ctx, p, now)
}

func (o *Outbox) pendingFor(intent Intent, rank int, now time.Time) *pending {
	if p, ok := o.pending[intent.Key]; ok {
		return p
	}
	p := &pending{notBefore: now}
	if intent.Shared {
		p.notBefore = now.Add(time.Duration(rank) * o.opts.Handover)
	}
	o.pending[intent.Key] = p
	return p
}

func (o *Outbox) build(p *pending, intent Intent, now time.Time) bool {
	r, err := record.New(intent.Kind, o.opts.Author, now, intent.Cause, intent.Body)
	if err != nil {
		o.opts.Logger.Error().Err(err).Str("kind", string(intent.Kind)).Msg("cannot build record")
		return false
	}
	p.record, p.built = r, true
	return true
}

func (o *Outbox) append(ctx context.Context, p *pending, now time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, o.opts.AppendTimeout)
	defer cancel()
	if err := o.opts.Appender.Append(ctx, p.record); err != nil {
		o.opts.Metrics.Counter("append_errors").Inc(1)
		p.notBefore = now.Add(o.opts.Retry)
		return false
	}
	tags := map[string]string{"kind": string(p.record.Kind)}
	o.opts.Metrics.Tagged(tags).Counter("records_appended").Inc(1)
	p.appended = true
	p.notBefore = now.Add(o.opts.Hold)
	return true
}
