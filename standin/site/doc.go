// Package site is a stand-in for the platform that a gateway serves: its key-value store,
// its plain services and its model endpoints, which forward a request along a chain by
// themselves. It speaks the platform's published protocol and records which requests
// really ran, so that tests can compare that with the answers that callers got. Make a
// Site with New, start endpoints with Start, and inject faults with Store.SetFaults,
// Site.NextModes and the methods of Endpoint.
package site
