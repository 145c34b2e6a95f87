package upstream

import (
	"errors"
	"fmt"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

const scramSHA256 = "SCRAM-SHA-256"

// DefaultParameters returns the run-time parameters of connections to backend
// servers. Sessions report the same values to their callers, because the
// transactions of one caller run on many connections.
func DefaultParameters() map[string]string {
	return map[string]string{
		"client_encoding": "UTF8",
		"DateStyle":       "ISO, MDY",
		"IntervalStyle":   "postgres",
		"TimeZone":        "UTC",
	}
}

// login runs the startup phase of the protocol up to the first ReadyForQuery.
func (c *Conn) login(o Options) error {
	start := &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{},
	}
	for k, v := range o.Parameters {
		start.Parameters[k] = v
	}
	start.Parameters["user"] = o.User
	start.Parameters["database"] = o.Database
	start.Parameters["application_name"] = ApplicationName(o.Host, o.Incarnation)
	if err := c.send(start); err != nil {
		return err
	}
	var conversation *scram.ClientConversation
	for {
		m, err := c.Receive()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *pgproto3.AuthenticationOk, *pgproto3.BackendKeyData, *pgproto3.NoticeResponse:
		case *pgproto3.ParameterStatus:
			c.parameters[m.Name] = m.Value
		case *pgproto3.AuthenticationSASL:
			conversation, err = c.startSCRAM(o, m.AuthMechanisms)
		case *pgproto3.AuthenticationSASLContinue:
			err = c.continueSCRAM(conversation, m.Data)
		case *pgproto3.AuthenticationSASLFinal:
			err = finishSCRAM(conversation, m.Data)
		case *pgproto3.ErrorResponse:
			err = NewServerError(m)
		case *pgproto3.ReadyForQuery:
			return nil
		default:
			err = fmt.Errorf("unsupported message %T during login", m)
		}
		if err != nil {
			return err
		}
	}
}

func (c *Conn) send(m pgproto3.FrontendMessage) error {
	var err error
	c.encodeBuf, err = m.Encode(c.encodeBuf[:0])
	if err != nil {
		return err
	}
	_, err = c.Write(c.encodeBuf)
	return err
}

func (c *Conn) startSCRAM(o Options, mechanisms []string) (*scram.ClientConversation, error) {
	if !slices.Contains(mechanisms, scramSHA256) {
		return nil, fmt.Errorf("peer offers no %s, only %q", scramSHA256, mechanisms)
	}
	client, err := scram.SHA256.NewClient("", o.Password, "")
	if err != nil {
		return nil, err
	}
	conversation := client.NewConversation()
	first, err := conversation.Step("")
	if err != nil {
		return nil, err
	}
	return conversation, c.send(&pgproto3.SASLInitialResponse{AuthMechanism: scramSHA256, Data: []byte(first)})
}

func (c *Conn) continueSCRAM(conversation *scram.ClientConversation, data []byte) error {
	if conversation == nil {
		return errors.New("SASL continuation without a start")
	}
	answer, err := conversation.Step(string(data))
	if err != nil {
		return err
	}
	return c.send(&pgproto3.SASLResponse{Data: []byte(answer)})
}

func finishSCRAM(conversation *scram.ClientConversation, data []byte) error {
	if conversation == nil {
		return errors.New("SASL completion without a start")
	}
	_, err := conversation.Step(string(data))
	return err
}
