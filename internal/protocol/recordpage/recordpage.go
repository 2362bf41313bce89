// Package recordpage converts pages of records to and from messages between instances.
package recordpage

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"tamarackrun"
	"tamarackrun/internal/protocol/wire"
)

// maxSize bounds the size of a page before compression, in bytes.
const maxSize = 32 << 20

// writers holds unused writers, which are large.
var writers = sync.Pool{New: func() any {
	// The level is valid, so there is no error.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// Encode returns the message for a page. Records without an encoding are sent with their
// names only.
func Encode(page tamarackrun.Page) (*wire.RecordPage, error) {
	stored := &wire.StoredRecords{}
	for _, r := range page.Records {
		s := &wire.StoredRecord{Name: r.Name, Revision: r.Position.Revision, Removed: r.Removed}
		if !r.Removed {
			s.Value = r.Encoded
		}
		stored.Records = append(stored.Records, s)
	}
	content, err := proto.Marshal(stored)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&b)
	if _, err := w.Write(content); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return &wire.RecordPage{Full: page.Full, Era: page.Position.Era, Revision: page.Position.Revision,
		Reconnected: page.Reconnected, Records: b.Bytes()}, nil
}

// Decode returns the page of a message. decode decodes a record from its encoding.
func Decode(message *wire.RecordPage, decode func(encoded []byte, removed bool) tamarackrun.Record) (tamarackrun.Page, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(message.GetRecords())), maxSize+1))
	switch {
	case err != nil:
		return tamarackrun.Page{}, err
	case len(content) > maxSize:
		return tamarackrun.Page{}, fmt.Errorf("the page is longer than %d bytes", maxSize)
	}
	stored := &wire.StoredRecords{}
	if err := proto.Unmarshal(content, stored); err != nil {
		return tamarackrun.Page{}, err
	}
	page := tamarackrun.Page{Full: message.Full, Position: tamarackrun.Position{Era: message.Era, Revision: message.Revision},
		Reconnected: message.Reconnected}
	for _, s := range stored.Records {
		r := tamarackrun.Record{Removed: true}
		if !s.Removed {
			r = decode(s.Value, false)
		}
		// The name and the revision come from the sender also if the record can't be decoded.
		r.Name, r.Position = s.Name, tamarackrun.Position{Era: message.Era, Revision: s.Revision}
		page.Records = append(page.Records, r)
	}
	return page, nil
}
