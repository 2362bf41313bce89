package pipeline

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"

	"tamarackrun/internal/protocol/body"
	"tamarackrun/internal/protocol/field"
)

// readHead reads the head of a request, whose body reads on from the reader. http.ReadRequest alone would allow lines that servers
// understand otherwise, such as a length with a blank behind its name: the body would be read as another request.
func readHead(reader *bufio.Reader) (*http.Request, error) {
	start, err := field.ReadLine(reader)
	if err != nil {
		return nil, err
	}
	header, err := field.Read(reader)
	if err != nil {
		return nil, err
	}
	if len(header["Content-Length"]) > 1 {
		return nil, errors.New("the request has several lengths")
	}
	var head strings.Builder
	head.WriteString(start + "\r\n")
	if err := header.Write(&head); err != nil {
		return nil, err
	}
	head.WriteString("\r\n")
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head.String())))
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		// The head is complete; it has no request line.
		err = errors.New("the request has no request line")
	}
	if err != nil {
		return nil, err
	}
	switch {
	case len(r.TransferEncoding) == 0 && len(header["Transfer-Encoding"]) > 0:
		return nil, errors.New("the request names an encoding that its version of HTTP does not have")
	case len(r.TransferEncoding) > 0:
		r.Body = body.Chunked(reader)
	case r.ContentLength > 0:
		r.Body = body.Sized(reader, r.ContentLength)
	}
	return r, nil
}
