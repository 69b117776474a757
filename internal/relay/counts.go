package relay

// counts are the attempts of a call: the targets chosen, those that the call reached, and
// those that may have run it.
type counts struct{ attempts, sent, runs int }

func (c counts) add(other counts) counts {
	return counts{c.attempts + other.attempts, c.sent + other.sent, c.runs + other.runs}
}

func (c counts) subtract(other counts) counts {
	return counts{c.attempts - other.attempts, c.sent - other.sent, c.runs - other.runs}
}

// admittedCounts are those of a leg that was sent and whose result is not known.
var admittedCounts = counts{attempts: 1, sent: 1, runs: 1}

// counts returns what the leg adds to the attempts of its call.
func (l *leg) counts() counts {
	c := counts{}
	if l.found || l.neighbor != "" && !l.unsent {
		c.attempts = 1
	}
	if l.sent {
		c.sent = 1
	}
	if l.ran {
		c.runs = 1
		c.runs = max(1, l.report().Runs)
	}
	return c
}

// limitedCounts returns the attempts of a standby leg that count towards the limits of its
// call. One that no target ran is limited by the retry budget only.
func (l *leg) limitedCounts() counts {
	c := l.counts()
	if !l.ran {
		c.sent = 0
	}
	return c
}
