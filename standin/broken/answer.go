// Package broken has answers that are not well-formed HTTP.
package broken

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// Answer is the text of an answer after which the connection is closed.
type Answer string

// Start answers requests at a free local address, which it returns, until stop is called.
func (a Answer) Start() (address string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go a.serve(c)
		}
	}()
	return listener.Addr().String(), func() { _ = listener.Close() }, nil
}

func (a Answer) serve(c net.Conn) {
	defer c.Close() //nolint:errcheck // a stand-in's connection
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err == nil {
		_, _ = io.WriteString(c, string(a)) // the client may have closed the connection
	}
}

// Heads returns answers whose heads are malformed, by what is wrong with them. All claim success, with the
// given header fields, each of which ends with CRLF, and the body.
func Heads(fields, body string) map[string]Answer {
	size := strconv.Itoa(len(body))
	length := "Content-Length: " + size + "\r\n"
	sound := "HTTP/1.1 200 OK\r\n" + fields + length + "\r\n" + body
	answers := make(map[string]Answer)
	for name, status := range map[string]string{
		"status 000":                    "HTTP/1.1 000 OK",
		"status 000 without a text":     "HTTP/1.1 000",
		"status 099":                    "HTTP/1.1 099 OK",
		"status 600":                    "HTTP/1.1 600 OK",
		"status 999":                    "HTTP/1.1 999 OK",
		"status of four digits":         "HTTP/1.1 2000 OK",
		"status with a sign":            "HTTP/1.1 +20 OK",
		"status of a negative zero":     "HTTP/1.1 -00 OK",
		"status after two blanks":       "HTTP/1.1  200 OK",
		"control byte in a status text": "HTTP/1.1 200 O\x01K",
		"version 2.0":                   "HTTP/2.0 200 OK",
		"version 0.9":                   "HTTP/0.9 200 OK",
		"no version":                    "200 OK",
	} {
		answers[name] = Answer(status + "\r\n" + fields + length + "\r\n" + body)
	}
	for name, field := range map[string]string{
		"blank before a colon":        "Content-Length : " + size + "\r\n",
		"blanks before a colon":       "Transfer-Encoding  : chunked\r\n",
		"tab before a colon":          "Content-Length\t: " + size + "\r\n",
		"blank in a name":             "Content Length: " + size + "\r\n",
		"blank before a name":         " Content-Length: " + size + "\r\n",
		"tab before a name":           "\tContent-Length: " + size + "\r\n",
		"line of a blank":             " \r\n",
		"control byte in a name":      "Content\x01Length: " + size + "\r\n",
		"zero in a name":              "Content-Length\x00: " + size + "\r\n",
		"carriage return in a name":   "Content\rLength: " + size + "\r\n",
		"delete character in a name":  "Content-Length\x7f: " + size + "\r\n",
		"byte above ASCII in a name":  "Content-Length\xa0: " + size + "\r\n",
		"empty name":                  ": " + size + "\r\n",
		"no colon":                    "Content-Length " + size + "\r\n",
		"control byte in a value":     "X: \x01\r\n",
		"carriage return in a value":  "X: a\rContent-Length: " + size + "\r\n",
		"two lengths":                 "Content-Length: 1\r\nContent-Length: " + size + "\r\n",
		"length with a sign":          "Content-Length: +" + size + "\r\n",
		"encoding that is not known":  "Transfer-Encoding: gzip\r\n",
		"chunks that are no chunks":   "Transfer-Encoding: chunked\r\n",
		"blank in a name, with chunk": "Transfer-Encoding : chunked\r\n",
	} {
		answers[name] = Answer("HTTP/1.1 200 OK\r\n" + fields + field + "\r\n" + body)
	}
	answers["chunks in version 1.0"] = Answer(
		"HTTP/1.0 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + Chunks(body) + "0\r\n\r\n")
	for name, interim := range map[string]string{
		"status 000 before an answer":          "HTTP/1.1 000 OK\r\n\r\n",
		"status 099 before an answer":          "HTTP/1.1 099 OK\r\n\r\n",
		"protocol that nobody asked for":       "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
		"blank in a name of an interim head":   "HTTP/1.1 103 Early\r\nLink : x\r\n\r\n",
		"control byte in a name of an interim": "HTTP/1.1 103 Early\r\nLi\x01nk: x\r\n\r\n",
	} {
		answers[name] = Answer(interim + sound)
	}
	return answers
}

// Trailers returns chunked answers whose trailers are malformed, like Heads.
func Trailers(fields, body string) map[string]Answer {
	answers := make(map[string]Answer)
	for name, trailer := range map[string]string{
		"blank before a colon":   "X : 5\r\n\r\n",
		"blank in a name":        "X Y: 5\r\n\r\n",
		"control byte in a name": "X\x01: 5\r\n\r\n",
		"no colon":               "X\r\n\r\n",
		"cut before a colon":     "X",
		"cut in a value":         "X: 5",
		"cut after a field":      "X: 5\r\n",
	} {
		answers[name] = Answer("HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + Chunks(body) + "0\r\n" + trailer)
	}
	return answers
}

// Chunks returns the chunks of a body, without the last one.
func Chunks(body string) string {
	if body == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
}

// All returns the answers of Heads, Trailers and Cuts without other fields, for a client that accepts the body.
func All(body string) map[string]Answer {
	answers := Heads("", body)
	for name, answer := range Trailers("", body) {
		answers["trailer, "+name] = answer
	}
	for _, answer := range Cuts("HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body) {
		answers[fmt.Sprintf("cut after %d bytes", len(answer))] = answer
	}
	return answers
}

// Cuts returns the beginnings of an answer, up to any byte of its head.
func Cuts(answer string) []Answer {
	head, _, _ := strings.Cut(answer, "\r\n\r\n")
	var list []Answer
	for n := range len(head) + len("\r\n\r\n") {
		list = append(list, Answer(answer[:n]))
	}
	return list
}
