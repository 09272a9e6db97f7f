package limits

import (
	"github.com/rotisserie/eris"

	"greengagedeck/internal/customer"
	"greengagedeck/internal/job"
	"greengagedeck/internal/logstore"
	"greengagedeck/internal/record"
)

// Partition holds the bounds of all pools and the tokens of those who may change them.
var Partition = logstore.Partition{Topic: "limits"}

// The kind of a record is the first byte of its key. The rest of the key is the pool.
const (
	// kindAllocator is the fencing token of the allocator.
	kindAllocator = "a"
	// kindBounds are the bounds of a pool.
	kindBounds = "b"
	// kindHolder is the fencing token of the holder of a pool.
	kindHolder = "h"
)

// tokenRecord is the value of a record of an allocator or a holder.
type tokenRecord struct {
	Token int64 `cbor:"1,keyasint"`
}

// boundsRecord is the value of a record of a pool's bounds.
type boundsRecord struct {
	// Config is the version of the configuration whose limits the pool's last report covers.
	Config int64                         `cbor:"1,keyasint,omitempty"`
	Bounds map[customer.ID]job.Resources `cbor:"2,keyasint,omitempty"`
}

func allocatorEntry(token int64) (logstore.Entry, error) {
	value, err := record.Encode(tokenRecord{token})
	return logstore.Entry{Key: kindAllocator, Value: value}, err
}

func holderEntry(pool string, token int64) (logstore.Entry, error) {
	value, err := record.Encode(tokenRecord{token})
	return logstore.Entry{Key: kindHolder + pool, Value: value}, err
}

// boundsEntry returns the entry of a pool's bounds. Without any, it deletes the key.
func boundsEntry(pool string, b boundsRecord) (logstore.Entry, error) {
	if b.Config == 0 && len(b.Bounds) == 0 {
		return logstore.Entry{Key: kindBounds + pool}, nil
	}
	value, err := record.Encode(b)
	return logstore.Entry{Key: kindBounds + pool, Value: value}, err
}

// decoded is a decoded record. Its key is of the kind and pool, and one of Token and Bounds is
// set.
type decoded struct {
	kind, pool string
	token      int64
	bounds     map[customer.ID]amounts
	config     int64
}

// errNoValue means that a record has no value where none is deleted.
var errNoValue = eris.New("the record has no value")

// decode decodes a record. It returns the kind and the pool also with an error, if the key
// has them.
func decode(r logstore.Record) (decoded, error) {
	if r.Key == "" {
		return decoded{}, eris.New("the record has no key")
	}
	d := decoded{kind: r.Key[:1], pool: r.Key[1:]}
	switch {
	case d.kind == kindAllocator && d.pool == "", d.kind == kindHolder:
		return d, d.decodeToken(r)
	case d.kind == kindBounds:
		return d, d.decodeBounds(r)
	}
	return decoded{}, eris.Errorf("the key %.40q is of no known kind", r.Key)
}

func (d *decoded) decodeToken(r logstore.Record) error {
	if len(r.Value) == 0 {
		return errNoValue
	}
	var t tokenRecord
	if err := record.Decode(r.Value, &t); err != nil {
		return eris.Wrapf(err, "token under %.40q", r.Key)
	}
	d.token = t.Token
	return nil
}

func (d *decoded) decodeBounds(r logstore.Record) error {
	if len(r.Value) == 0 {
		return errNoValue
	}
	var b boundsRecord
	if err := record.Decode(r.Value, &b); err != nil {
		return eris.Wrapf(err, "bounds under %.40q", r.Key)
	}
	bounds := make(map[customer.ID]amounts, len(b.Bounds))
	for id, bound := range b.Bounds {
		if err := bound.Validate(); err != nil {
			return eris.Wrapf(err, "bound of %.40q under %.40q", id, r.Key)
		}
		bounds[id] = amountsOf(bound)
	}
	d.config, d.bounds = b.Config, bounds
	return nil
}
