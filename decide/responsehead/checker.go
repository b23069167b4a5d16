// Package responsehead defines what a well-formed head of an HTTP/1 response is, by RFC 9112. It is stricter
// than net/http, which reads heads that other parsers read differently, and then takes other bytes for the body.
package responsehead

import "fmt"

// Checker checks the head of a response, and the interim heads before it, as their bytes arrive. The zero Checker
// expects the first byte. Lines may end with LF alone.
type Checker struct {
	ended bool
	// line is the number of the line, from 0, and column the number of bytes in it, without its end.
	line, column int
	// afterCR is set if the last byte was a carriage return, which only the end of a line may hold.
	afterCR bool
	// start holds the first bytes of the status line.
	start [statusLineLength + 1]byte
	// inValue is set after the colon of a field. encodes is set while its name may be Transfer-Encoding.
	inValue, encodes bool
	// fault is the first fault of the head, nil for none.
	fault *MalformedError
}

const (
	// version is the first bytes of a head, without the minor version.
	version = "HTTP/1."
	// statusLineLength is the number of bytes of a status line without a text.
	statusLineLength = len(version + "1 200")
	// transferEncoding is the name, in lower case, of a field that version 1.0 does not have: whoever does not know it
	// takes the chunks for the body.
	transferEncoding = "transfer-encoding"
)

// Ended reports whether the head of the final response is complete.
func (c *Checker) Ended() bool { return c.ended }

// Check checks the next bytes of a response; those after the end of its head are ignored. If the head is
// malformed, Check returns a MalformedError once it is complete, and the number of bytes before the one that
// completes it.
func (c *Checker) Check(p []byte) (int, error) {
	for i, b := range p {
		if c.ended {
			break
		}
		if b != '\n' {
			c.add(b)
			continue
		}
		if c.endLine(); c.line > 1 && c.column == 0 {
			if err := c.endHead(); err != nil {
				return i, err
			}
		}
		c.column, c.afterCR, c.inValue = 0, false, false
	}
	return len(p), nil
}

// add checks a byte that does not end a line.
func (c *Checker) add(b byte) {
	if c.afterCR {
		c.fail("carriage return inside a line")
	}
	if c.afterCR = b == '\r'; c.afterCR {
		return
	}
	switch {
	case c.line == 0 || c.inValue:
		if b < ' ' && b != '\t' || b == 0x7f {
			c.failByte(b, "text")
		}
		if c.line == 0 && c.column < len(c.start) {
			c.start[c.column] = b
		}
	case b == ':':
		c.endName()
	case c.column == 0 && (b == ' ' || b == '\t'):
		c.fail("line begins with a blank")
	case !isToken(b):
		c.failByte(b, "name")
	default:
		c.encodes = (c.column == 0 || c.encodes) && c.column < len(transferEncoding) && b|0x20 == transferEncoding[c.column]
	}
	c.column++
}

// endName checks the name of a field once its colon has come.
func (c *Checker) endName() {
	c.inValue = true
	if c.column == 0 {
		c.fail("field without a name")
	}
	if c.encodes && c.column == len(transferEncoding) && c.start[len(version)] == '0' {
		c.fail("chunks in HTTP/1.0")
	}
}

// endLine checks a line that is complete.
func (c *Checker) endLine() {
	switch {
	case c.line == 0:
		c.checkStatusLine()
	case !c.inValue && c.column > 0:
		c.fail("field without a colon")
	}
	c.line++
}

// checkStatusLine checks all of the status line but its text.
func (c *Checker) checkStatusLine() {
	s := c.start
	if c.column < statusLineLength || string(s[:len(version)]) != version || !isDigit(s[7]) || s[8] != ' ' ||
		!isDigit(s[9]) || !isDigit(s[10]) || !isDigit(s[11]) || c.column > statusLineLength && s[statusLineLength] != ' ' {
		c.fail("not a status line of HTTP/1")
		return
	}
	switch status := string(s[9:statusLineLength]); {
	case status[0] < '1' || status[0] > '5':
		c.fail("status " + status)
	case status == "101":
		c.fail("change of the protocol, which no request asks for")
	}
}

// endHead returns the fault of a head that is complete. After an interim one, it expects another.
func (c *Checker) endHead() error {
	if c.fault != nil {
		return c.fault
	}
	if c.start[9] == '1' {
		*c = Checker{}
		return nil
	}
	c.ended = true
	return nil
}

// fail records a fault of the line, unless there was one before.
func (c *Checker) fail(reason string) {
	if c.fault == nil {
		c.fault = &MalformedError{Part: fmt.Sprintf("head, line %d", c.line+1), Reason: reason}
	}
}

func (c *Checker) failByte(b byte, part string) {
	if c.fault == nil {
		c.fail(byteReason(b, part))
	}
}

// byteReason returns the reason of an invalid byte.
func byteReason(b byte, part string) string {
	return fmt.Sprintf("byte 0x%02x in a %s", b, part)
}

// CheckTrailers checks the names of fields that came after the chunks of a body. The rest of trailers is for
// their parser to check.
func CheckTrailers(fields map[string][]string) error {
	for name := range fields {
		for i := range len(name) {
			if !isToken(name[i]) {
				return &MalformedError{Part: "trailer", Reason: byteReason(name[i], "name")}
			}
		}
	}
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isToken reports whether a byte may be in the name of a field.
func isToken(b byte) bool {
	switch b {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return isDigit(b) || 'a' <= b|0x20 && b|0x20 <= 'z'
}
