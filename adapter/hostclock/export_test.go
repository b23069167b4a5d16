package hostclock

// SinceStart exports sinceStart.
var SinceStart = sinceStart
