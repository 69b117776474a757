package httpport

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"

	"bamboorail.example/bamboorail"
)

// Reason is the rule that a rejected answer breaks.
type Reason string

// The reasons.
const (
	ReasonStatus        Reason = "status"
	ReasonField         Reason = "field"
	ReasonFraming       Reason = "framing"
	ReasonInformational Reason = "informational"
	ReasonTrailer       Reason = "trailer"
	ReasonIncomplete    Reason = "incomplete"
)

// Error is the error type of the package. Its outcome is always may-have-run, since an
// answer proves that the request was sent.
type Error struct {
	bamboorail.Failure
	Reason Reason
}

const opCheck = "check-answer"

func rejected(reason Reason, err error) *Error {
	kind := bamboorail.KindTargetFailed
	if reason == ReasonIncomplete {
		kind = bamboorail.KindTruncated
	}
	return &Error{bamboorail.Failure{Op: opCheck, Kind: kind, Outcome: bamboorail.OutcomeMayHaveRun, Err: err}, reason}
}

var (
	errReasonPhrase = errors.New("the reason phrase contains a control byte")
	errManyHeads    = fmt.Errorf("the informational heads exceed %d bytes", MaxResponseHeaderBytes)
)

// CheckHead returns an error of type *Error unless the status is that of a final answer, 200
// to 599, all field names are tokens as in RFC 9110 and no value contains a control byte.
func CheckHead(status int, h http.Header) error {
	if status < http.StatusOK || status > 599 {
		return rejected(ReasonStatus, fmt.Errorf("the final status is %03d", status))
	}
	return checkFields(ReasonField, h)
}

// checkFields checks the field names and values of a head or a trailer. net/http keeps names
// that contain blanks as they are.
func checkFields(reason Reason, h map[string][]string) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return rejected(reason, fmt.Errorf("the field name %.40q is not a token", name))
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return rejected(reason, fmt.Errorf("the value of the field %.40q contains a control byte", name))
			}
		}
	}
	return nil
}

// checkResponse checks the head of an answer that net/http has parsed.
func checkResponse(r *http.Response) error {
	if err := CheckHead(r.StatusCode, r.Header); err != nil {
		return err
	}
	if !httpguts.ValidHeaderFieldValue(r.Status) {
		return rejected(ReasonStatus, errReasonPhrase)
	}
	return nil
}
