package session

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/gypsumgap/gypsumgap/daemon/internal/upstream"
)

const (
	scramSHA256 = "SCRAM-SHA-256"
	// maxStartupBytes is PostgreSQL's own limit on a startup packet.
	maxStartupBytes = 10000
	// maxStartupPackets bounds the packets of the start-up phase: encryption
	// requests and the startup message.
	maxStartupPackets = 3
	// mockIterations is PostgreSQL's default iteration count, so that mock
	// credentials look like those of a user.
	mockIterations = 4096
	// mockSaltBytes is PostgreSQL's default salt length, for the same reason.
	mockSaltBytes     = 16
	protocolMajor     = 3
	protocolMinorMask = 0xffff
	severityFatal     = "FATAL"
	severityError     = "ERROR"
	severityWarning   = "WARNING"
	// optionPrefix begins the names of protocol options in the startup packet.
	optionPrefix     = "_pq_."
	applicationName  = "application_name"
	replicationParam = "replication"
)

// errEnded ends a session for which nothing has to be logged.
var errEnded = errors.New("session ended")

// handshake serves the start-up phase. It fails with errEnded if the connection
// carried a cancel request or was refused with an ErrorResponse.
func (s *session) handshake() error {
	start, err := s.readStartup()
	if err != nil {
		return err
	}
	if err := s.checkVersion(start); err != nil {
		return err
	}
	if err := s.acceptParameters(start.Parameters); err != nil {
		return err
	}
	if err := s.authenticate(); err != nil {
		return err
	}
	s.out.add(&pgproto3.AuthenticationOk{})
	s.sendAnnouncedParameters()
	s.out.add(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret[:]})
	s.out.add(&pgproto3.ReadyForQuery{TxStatus: upstream.StatusIdle})
	s.out.flush()
	return s.out.err
}

// readStartup answers encryption requests until it has read the startup message. It
// fails with errEnded after a cancel request.
func (s *session) readStartup() (*pgproto3.StartupMessage, error) {
	for range maxStartupPackets {
		s.in.framer.startup = true
		s.in.framer.maxBytes = maxStartupBytes
		m, err := s.in.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, s.rejectStartup(err)
		}
		s.in.framer.startup = false
		s.in.framer.maxBytes = s.options().MaxUnitBytes
		switch m := m.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.SSLRequest:
			err = s.startTLS()
		case *pgproto3.GSSEncRequest:
			err = s.answerByte('N')
		case *pgproto3.CancelRequest:
			s.server.cancel(m.ProcessID, m.SecretKey)
			return nil, errEnded
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, s.fatal(codeProtocolViolation, "too many encryption requests")
}

// rejectStartup ends the session after a startup packet that cannot be read. A
// connection that is closed without having sent a byte gets no answer.
func (s *session) rejectStartup(err error) error {
	if errors.Is(err, io.EOF) && s.in.empty() {
		return err
	}
	s.in.framer.startup = false
	return s.fatal(codeProtocolViolation, "malformed startup packet: "+err.Error())
}

func (s *session) answerByte(b byte) error {
	s.out.appendRaw([]byte{b})
	s.out.flush()
	return s.out.err
}

func (s *session) startTLS() error {
	config := s.options().TLS
	if config == nil {
		return s.answerByte('N')
	}
	// Bytes that arrived in plain text before the handshake must not be treated
	// as encrypted data.
	if !s.in.empty() {
		return s.fatal(codeProtocolViolation, "received unencrypted data after SSLRequest")
	}
	if err := s.answerByte('S'); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.options().StartupTimeout)
	defer cancel()
	secured := tls.Server(s.nc, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		return fmt.Errorf("TLS handshake: %w", err)
	}
	s.setConn(secured)
	return nil
}

// checkVersion rejects other major versions of the protocol, and negotiates minor
// versions and protocol options down to version 3.0 without options.
func (s *session) checkVersion(m *pgproto3.StartupMessage) error {
	if m.ProtocolVersion>>16 != protocolMajor {
		return s.fatal(codeFeatureNotSupported, fmt.Sprintf("unsupported protocol version %d.%d: server supports 3.0",
			m.ProtocolVersion>>16, m.ProtocolVersion&protocolMinorMask))
	}
	var unknown []string
	for name := range m.Parameters {
		if strings.HasPrefix(name, optionPrefix) {
			unknown = append(unknown, name)
		}
	}
	if m.ProtocolVersion&protocolMinorMask == 0 && len(unknown) == 0 {
		return nil
	}
	slices.Sort(unknown)
	s.out.add(&pgproto3.NegotiateProtocolVersion{UnrecognizedOptions: unknown})
	return nil
}

// acceptParameters reads the startup parameters and rejects unsupported ones.
// Run-time parameters are set on each connection that the session uses.
func (s *session) acceptParameters(parameters map[string]string) error {
	s.user = parameters["user"]
	if s.user == "" {
		return s.fatal(codeInvalidAuthorization, "no user name in startup packet")
	}
	s.database = parameters["database"]
	if s.database == "" {
		s.database = s.user
	}
	announced := s.announcedParameters()
	for name, value := range parameters {
		switch {
		case name == "user" || name == "database" || strings.HasPrefix(name, optionPrefix):
		case name == applicationName:
			s.appName = value
		case name == tokenParameter:
			s.token = value
		case name == settingPrefix+settingClass:
			s.class = value
		case strings.EqualFold(name, "extra_float_digits"):
			// Values from 1 to 3 give the same text output as the default.
			if n, err := strconv.Atoi(value); err != nil || n < 1 {
				return s.rejectParameter(name, value)
			}
		case name == replicationParam && slices.Contains([]string{"false", "off", "no", "0"}, value):
		case matchesAnnounced(announced, name, value):
		case isSettable(name):
			if s.startupParameters == nil {
				s.startupParameters = map[string]string{}
			}
			s.startupParameters[name] = value
		default:
			return s.rejectParameter(name, value)
		}
	}
	return nil
}

func (s *session) rejectParameter(name, value string) error {
	return s.fatal(codeFeatureNotSupported,
		fmt.Sprintf("startup parameter %s = %q is not supported", name, value))
}

// matchesAnnounced reports whether the value is equivalent to the announced one.
func matchesAnnounced(announced []pgproto3.ParameterStatus, name, value string) bool {
	for _, p := range announced {
		if strings.EqualFold(p.Name, name) {
			return normalizeParameter(value) == normalizeParameter(p.Value) ||
				strings.HasPrefix(normalizeParameter(p.Value), normalizeParameter(value)+",")
		}
	}
	return false
}

// normalizeParameter removes differences of spelling that do not change the meaning,
// such as utf-8 for UTF8.
func normalizeParameter(v string) string {
	return strings.NewReplacer("-", "", " ", "", "'", "").Replace(strings.ToLower(v))
}

// announcedParameters returns the run-time parameters that are reported to the
// caller at startup, sorted by name.
func (s *session) announcedParameters() []pgproto3.ParameterStatus {
	list := []pgproto3.ParameterStatus{
		{Name: "server_version", Value: defaultServerVersion},
		{Name: "server_encoding", Value: "UTF8"},
		{Name: "integer_datetimes", Value: "on"},
		{Name: "standard_conforming_strings", Value: "on"},
		{Name: "is_superuser", Value: "off"},
		{Name: "session_authorization", Value: s.user},
		{Name: applicationName, Value: s.appName},
	}
	for name, value := range upstream.DefaultParameters() {
		list = append(list, pgproto3.ParameterStatus{Name: name, Value: value})
	}
	for name, value := range s.options().Parameters {
		i := slices.IndexFunc(list, func(p pgproto3.ParameterStatus) bool { return p.Name == name })
		if i >= 0 {
			list[i].Value = value
			continue
		}
		list = append(list, pgproto3.ParameterStatus{Name: name, Value: value})
	}
	for i := range list {
		for name, value := range s.startupParameters {
			if strings.EqualFold(name, list[i].Name) {
				list[i].Value = value
			}
		}
	}
	slices.SortFunc(list, func(a, b pgproto3.ParameterStatus) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (s *session) sendAnnouncedParameters() {
	list := s.announcedParameters()
	for i := range list {
		s.out.add(&list[i])
	}
}

// authenticate requires a password if Options.Verifiers is set.
func (s *session) authenticate() error {
	verifiers := s.options().Verifiers
	if verifiers == nil {
		return nil
	}
	text, err := verifiers.Verifier(s.database, s.user)
	known := true
	switch {
	case errors.Is(err, ErrUnknownDatabase):
		return s.fatal(codeUnknownDatabase, fmt.Sprintf("database %q does not exist", s.database))
	case errors.Is(err, ErrUnknownUser):
		known = false
	case err != nil:
		return s.fatal(codeInternal, "cannot look up the user: "+err.Error())
	}
	credentials := s.mockCredentials()
	if known {
		if credentials, err = parseVerifier(text); err != nil {
			s.options().Log.WithError(err).WithField("user", s.user).Error("verifier_invalid")
			return s.fatal(codeInternal, "the stored verifier of the user is invalid")
		}
	}
	valid, err := s.exchangeSCRAM(credentials)
	if err != nil {
		return err
	}
	if !valid || !known {
		return s.fatal(codeInvalidPassword, fmt.Sprintf("password authentication failed for user %q", s.user))
	}
	return nil
}

// mockCredentials returns credentials that no password matches. They are the same
// for every attempt with a user name, so that a client cannot distinguish an unknown
// user from a wrong password.
func (s *session) mockCredentials() scram.StoredCredentials {
	mac := hmac.New(sha256.New, mockKey[:])
	mac.Write([]byte(s.user))
	sum := mac.Sum(nil)
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(sum[:mockSaltBytes]), Iters: mockIterations},
		StoredKey:  sum,
		ServerKey:  sum,
	}
}

// mockKey is a random key for mockCredentials, drawn once per process.
var mockKey = func() (key [sha256.Size]byte) {
	for i := 0; i < len(key); i += cancelSecretBytes {
		secret := newSecret()
		copy(key[i:], secret[:])
	}
	return key
}()

// exchangeSCRAM runs the SCRAM-SHA-256 exchange and reports whether the caller has
// proved that it knows the password.
func (s *session) exchangeSCRAM(credentials scram.StoredCredentials) (bool, error) {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return credentials, nil })
	if err != nil {
		return false, s.fatal(codeInternal, err.Error())
	}
	conversation := server.NewConversation()
	s.out.add(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramSHA256}})
	first, err := s.receiveSASL(pgproto3.AuthTypeSASL)
	if err != nil {
		return false, err
	}
	answer, err := conversation.Step(first)
	if err != nil {
		return false, s.fatal(codeProtocolViolation, "malformed SCRAM message: "+err.Error())
	}
	s.out.add(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)})
	last, err := s.receiveSASL(pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return false, err
	}
	answer, err = conversation.Step(last)
	if err != nil || !conversation.Valid() {
		return false, nil
	}
	s.out.add(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
	return true, nil
}

// receiveSASL sends the buffered messages and returns the data of the caller's next
// SASL message.
func (s *session) receiveSASL(authType uint32) (string, error) {
	s.out.flush()
	if s.out.err != nil {
		return "", s.out.err
	}
	if err := s.in.backend.SetAuthType(authType); err != nil {
		return "", err
	}
	m, err := s.in.backend.Receive()
	if err != nil {
		if errors.Is(err, io.EOF) {
			return "", err
		}
		return "", s.fatal(codeProtocolViolation, "malformed password message: "+err.Error())
	}
	switch m := m.(type) {
	case *pgproto3.SASLInitialResponse:
		if m.AuthMechanism != scramSHA256 {
			return "", s.fatal(codeProtocolViolation, "unsupported SASL mechanism "+strconv.Quote(m.AuthMechanism))
		}
		return string(m.Data), nil
	case *pgproto3.SASLResponse:
		return string(m.Data), nil
	default:
		return "", s.fatal(codeProtocolViolation, fmt.Sprintf("expected a SASL response, got %T", m))
	}
}

// parseVerifier parses a verifier of the form
// SCRAM-SHA-256$iterations:salt$StoredKey:ServerKey, with salt and keys in base64.
func parseVerifier(text string) (scram.StoredCredentials, error) {
	var c scram.StoredCredentials
	parts := strings.Split(text, "$")
	if len(parts) != 3 || parts[0] != scramSHA256 {
		return c, errors.New("verifier is not of the form SCRAM-SHA-256$iterations:salt$StoredKey:ServerKey")
	}
	iterations, salt, ok := strings.Cut(parts[1], ":")
	stored, server, ok2 := strings.Cut(parts[2], ":")
	if !ok || !ok2 {
		return c, errors.New("verifier lacks a salt or a key")
	}
	n, err := strconv.Atoi(iterations)
	if err != nil || n < 1 {
		return c, fmt.Errorf("verifier has an invalid iteration count %q", iterations)
	}
	rawSalt, err := base64.StdEncoding.DecodeString(salt)
	if err != nil {
		return c, fmt.Errorf("decode salt of the verifier: %w", err)
	}
	c.KeyFactors = scram.KeyFactors{Salt: string(rawSalt), Iters: n}
	if c.StoredKey, err = base64.StdEncoding.DecodeString(stored); err != nil {
		return c, fmt.Errorf("decode stored key of the verifier: %w", err)
	}
	if c.ServerKey, err = base64.StdEncoding.DecodeString(server); err != nil {
		return c, fmt.Errorf("decode server key of the verifier: %w", err)
	}
	if len(c.StoredKey) != sha256.Size || len(c.ServerKey) != sha256.Size {
		return c, errors.New("keys of the verifier are not 32 bytes long")
	}
	return c, nil
}

// fatal sends an ErrorResponse of severity FATAL and returns errEnded.
func (s *session) fatal(code, message string) error {
	s.out.append(&pgproto3.ErrorResponse{
		Severity: severityFatal, SeverityUnlocalized: severityFatal, Code: code, Message: message,
	})
	s.out.flush()
	return errEnded
}
