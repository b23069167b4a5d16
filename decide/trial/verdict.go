package trial

// Tried is a suspect after an isolated attempt of a request with it.
type Tried struct {
	// Trial is that of the suspect with the attempt in progress.
	Trial Trial
	Evidence
	// Part is set if the suspect is a part of prompts, and not the request.
	Part bool
}

// Verdict is what an isolated attempt shows of the suspects of its request.
type Verdict struct {
	// Culprit is the index of the suspect that causes the ends, negative if none is shown to.
	Culprit int
	// Trials are the states of the trials after the attempt, without attempts that say nothing of their suspects.
	Trials []Trial
}

// Judge returns the verdict on the suspects of one request, from the narrowest to the broadest, which all have the outcome
// of its attempt in common.
//
// An end has one cause. Of several suspects that may be guilty it is one with which no request ran well before, and of
// these the one with the most ends. The request itself goes before parts with as many ends: nothing else is refused with
// it. Of parts with as many ends as each other none is convicted until their attempts are used up, since the next
// request may have only one of them; then it is the first listed. A part with which requests ran well is not convicted while
// a likelier suspect of the request has attempts left.
func Judge(list []Tried) Verdict {
	v := Verdict{Culprit: culprit(list)}
	for i, s := range list {
		o := s.Outcome
		if o == Ended && i != v.Culprit && explained(list, i, v.Culprit) {
			o = NotRun
		}
		v.Trials = append(v.Trials, s.Trial.WithOutcome(o, s.Ends))
	}
	return v
}

// culprit returns the index of the suspect that causes the ends, negative if none is shown to.
func culprit(list []Tried) int {
	best, tied := -1, false
	for i, s := range list {
		if !s.Trial.Guilty(s.Evidence) || likelier(list, i) {
			continue
		}
		switch {
		case best < 0 || list[best].Proven && !s.Proven || list[best].Proven == s.Proven && s.Ends > list[best].Ends:
			best, tied = i, false
		case list[best].Proven == s.Proven && s.Ends == list[best].Ends && list[best].Part:
			tied = true
		}
	}
	if tied && list[best].Trial.Sends < maxSends {
		return -1
	}
	return best
}

// explained reports whether the end of an attempt says nothing of the i-th suspect, since it is due to another one.
func explained(list []Tried, i, culprit int) bool {
	if s := list[i]; culprit >= 0 {
		return s.Proven || !s.Part || s.Ends < list[culprit].Ends
	}
	return likelier(list, i)
}

// likelier reports whether the end of an attempt is due to another suspect of its request rather than to the i-th, a part
// with which requests ran well: to a part with which none did, or, if this was the last attempt of the i-th, to a narrower
// one that is in as many ends. The next attempts show whether the i-th ends endpoints without that one.
func likelier(list []Tried, i int) bool {
	if !list[i].Proven {
		return false
	}
	for j, other := range list {
		if other.Part && (!other.Proven || list[i].Trial.Sends >= maxSends && j < i && other.Ends >= list[i].Ends) {
			return true
		}
	}
	return false
}
