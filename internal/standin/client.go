package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"

	"spoolswitch/internal/clock"
	"spoolswitch/internal/httpmessage"
	"spoolswitch/internal/ids"
)

// Reply is an answer as a client got it. Whole tells whether its body was.
type Reply struct {
	Status int
	Body   string
	Whole  bool
	Seal   string
	ID     string
	Back   string
	Close  bool
}

// Client is a stand-in for a client's connection.
type Client struct {
	c  net.Conn
	br *bufio.Reader
}

// Call opens a connection.
func Call(a ids.Addr) *Client {
	c, err := net.Dial("tcp4", string(a))
	if err != nil {
		panic(err)
	}
	_ = c.SetDeadline(clock.Now().Add(15 * clock.Second).Deadline())
	return &Client{c: c, br: bufio.NewReader(c)}
}

// Close closes the connection.
func (k *Client) Close() { _ = k.c.Close() }

// Put writes bytes as they are.
func (k *Client) Put(s string) {
	_, _ = io.WriteString(k.c, s)
}

// Head reads the head of an answer that has no body.
func (k *Client) Head() (*httpmessage.Response, error) { return httpmessage.ReadResponse(k.br) }

// Get reads one answer.
func (k *Client) Get() (Reply, error) {
	a, err := httpmessage.ReadResponse(k.br)
	if err != nil {
		return Reply{}, err
	}
	r := Reply{Status: a.Status, Seal: string(a.Field(httpmessage.Seal)), ID: string(a.Field(httpmessage.AttemptID)),
		Back: string(a.Field(httpmessage.RetryAfter)), Close: a.Close}
	b := httpmessage.NewBody(k.br, a.Framing)
	buf := make([]byte, 4096)
	for {
		n, err := b.Read(buf)
		r.Body += string(buf[:n])
		if errors.Is(err, io.EOF) && b.Whole() {
			r.Whole = true
			return r, nil
		}
		if err != nil {
			return r, nil
		}
	}
}

// Ask sends one request and reads the answer. Fields are lines without ends.
func (k *Client) Ask(host, path, id, body string, fields ...string) (Reply, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n", path, host, id)
	for _, f := range fields {
		b.WriteString(f + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	k.Put(b.String())
	return k.Get()
}

// More tells whether anything but an end follows.
func (k *Client) More() bool {
	_, err := k.br.Peek(1)
	return err == nil
}
