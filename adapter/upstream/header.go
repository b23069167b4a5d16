package upstream

import "net/http"

// CopyHeader copies the headers of an endpoint's answer to the caller's.
func CopyHeader(to, from http.Header) {
	for name, values := range from {
		if name == "Content-Length" || name == "Transfer-Encoding" || name == "Trailer" {
			continue
		}
		to[name] = values
	}
	if _, typed := from["Content-Type"]; !typed {
		to["Content-Type"] = nil // keeps the server from guessing one
	}
}
