// Package httpstore is a platform.Store over HTTP with JSON.
//
// In the wire format, keys are escaped as one path segment and versions are
// decimal.
//
//	GET    /v1/objects/{key}                       200 {"key","value","version"}
//	PUT    /v1/objects/{key}?expected=VERSION      200 {"version"}; the body is the value itself
//	DELETE /v1/objects/{key}?expected=VERSION      200 {"version":0}
//	GET    /v1/objects?prefix=PREFIX               200 {"objects":[{"key","version"}]}
//	GET    /v1/watch/{key}?known=VERSION&wait=DUR  200 {"key","value","version"}; version 0 for no object
//	GET    /v1/hosts                               200 {"hosts":[...]}
//
// "value" is base64. DUR is a Go duration such as "30s". A failure has the
// body {"error":CODE,"message":TEXT}, with these statuses and codes:
//
//	404 not_found  409 conflict  413 too_large  429 rate_limited
//	503 unavailable (not executed)  504 unknown (may have been executed)
//
// A change whose response does not arrive, because the connection failed or the
// context ended, fails with platform.ErrUnknown. If no connection could be
// made, the call fails with platform.ErrUnavailable. Go's transport repeats a
// PUT or DELETE on another connection only if no byte of it was written.
package httpstore

import (
	"errors"
	"net/http"

	"github.com/gypsumgap/gypsumgap/core/platform"
)

// The paths of the wire format.
const (
	ObjectsPath = "/v1/objects"
	WatchPath   = "/v1/watch"
	HostsPath   = "/v1/hosts"
)

// Object is the JSON form of platform.Object.
type Object struct {
	Key     string           `json:"key"`
	Value   []byte           `json:"value,omitempty"`
	Version platform.Version `json:"version"`
}

// WriteResponse is the response to a PUT or DELETE of an object.
type WriteResponse struct {
	Version platform.Version `json:"version"`
}

// ListResponse is the response to a listing of objects.
type ListResponse struct {
	Objects []Object `json:"objects"`
}

// HostsResponse is the response to a listing of hosts.
type HostsResponse struct {
	Hosts []platform.Host `json:"hosts"`
}

// ErrorResponse is the body of a response that reports a failure.
type ErrorResponse struct {
	Error   string `json:"error"`
	Message string `json:"message"`
}

// errorCodes maps the errors of package platform to their statuses and codes.
var errorCodes = []struct {
	err    error
	status int
	code   string
}{
	{platform.ErrNotFound, http.StatusNotFound, "not_found"},
	{platform.ErrConflict, http.StatusConflict, "conflict"},
	{platform.ErrTooLarge, http.StatusRequestEntityTooLarge, "too_large"},
	{platform.ErrRateLimited, http.StatusTooManyRequests, "rate_limited"},
	{platform.ErrUnavailable, http.StatusServiceUnavailable, "unavailable"},
	{platform.ErrUnknown, http.StatusGatewayTimeout, "unknown"},
}

// EncodeError returns the HTTP status and code of an error of package platform,
// or 500 and "internal" for any other error.
func EncodeError(err error) (status int, code string) {
	for _, k := range errorCodes {
		if errors.Is(err, k.err) {
			return k.status, k.code
		}
	}
	return http.StatusInternalServerError, "internal"
}

// decodeError returns the error of package platform for a code, or nil if the
// code is unknown.
func decodeError(code string) error {
	for _, k := range errorCodes {
		if k.code == code {
			return k.err
		}
	}
	return nil
}
