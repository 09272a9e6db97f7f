package decision

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"greengagedeck/internal/record"
)

// KindNote is a record that only adds to the history of decisions: it documents what
// one daemon decided on its own, such as the ejection of a host.
const KindNote record.Kind = "decision.note"

// Note is the body of a KindNote record.
type Note struct {
	Subjects []string `cbor:"1,keyasint"`
}

// Apply applies a note.
func (s *State) Apply(r record.Record) record.Outcome {
	var n Note
	if r.Kind != KindNote {
		return record.Reject("unknown kind " + string(r.Kind))
	}
	if err := record.Decode(r.Body, &n); err != nil {
		return record.Reject(err.Error())
	}
	return record.Accept(n.Subjects...)
}

// NoteAppender appends records to the control stream.
type NoteAppender interface {
	Submit(ctx context.Context, r record.Record) error
}

const (
	// maxQueuedNotes bounds the notes that wait to be appended.
	maxQueuedNotes = 256
	// noteRetryInterval is the pause after an append that failed.
	noteRetryInterval = time.Second
	// noteTimeout bounds one append.
	noteTimeout = 5 * time.Second
)

// NoteWriter appends notes in the background, so that the code that makes a decision
// never waits for the log.
type NoteWriter struct {
	self     string
	appender NoteAppender
	logger   zerolog.Logger
	queue    chan record.Record

	written tally.Counter
	dropped tally.Counter
}

// NewNoteWriter returns a note writer that appends nothing until Run is called.
func NewNoteWriter(self string, a NoteAppender, l zerolog.Logger, scope tally.Scope) *NoteWriter {
	scope = scope.SubScope("decision")
	return &NoteWriter{
		self:     self,
		appender: a,
		logger:   l,
		queue:    make(chan record.Record, maxQueuedNotes),
		written:  scope.Counter("notes_written"),
		dropped:  scope.Counter("notes_dropped"),
	}
}

// Write queues a note. If the queue is full, the note is counted and dropped; what the
// caller itself logged about the decision remains.
func (n *NoteWriter) Write(now time.Time, cause record.Cause, subjects ...string) {
	rec, err := record.New(KindNote, n.self, now, cause, Note{Subjects: subjects})
	if err != nil {
		n.dropped.Inc(1)
		return
	}
	select {
	case n.queue <- rec:
	default:
		n.dropped.Inc(1)
	}
}

// Run appends queued notes until ctx ends. An append whose outcome is unknown
// is repeated under the same record ID; only the first copy in the log takes effect.
func (n *NoteWriter) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case rec := <-n.queue:
			n.append(ctx, rec)
		}
	}
}

func (n *NoteWriter) append(ctx context.Context, rec record.Record) {
	for ctx.Err() == nil {
		actx, cancel := context.WithTimeout(ctx, noteTimeout)
		err := n.appender.Submit(actx, rec)
		cancel()
		if err == nil {
			n.written.Inc(1)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(noteRetryInterval):
		}
	}
}
