// Package demo runs the whole system on one machine: stand-ins of the platform and
// the database groups, gypsumgap processes in three availability zones for each
// database, an operator's configuration folder, and callers whose sessions move
// between hosts. While the callers run, it injects the faults of a scenario.
// Afterwards it reads the databases back and checks them against the callers' record.
package demo

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/xdg-go/scram"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/platform"
	"github.com/gypsumgap/gypsumgap/standin/dbgroup"
	"github.com/gypsumgap/gypsumgap/standin/latency"
	"github.com/gypsumgap/gypsumgap/standin/load"
)

const (
	callerPassword  = "demo-password"
	scramIterations = 4096
	hostsPerZone    = 1
)

// deployment describes a service with one database, a part of a user's system.
type deployment struct {
	service         string
	database        string
	region          string
	zones           []string
	slots           int
	connectionLimit int
	connectTime     time.Duration
	caller          string
	writeClass      string
}

// deployments holds one database of each of the two services, with the zones,
// connection limits and connect times of the users' systems.
var deployments = []deployment{
	{
		service: "werkplaats-db", database: "werkplaats-1-a", region: "randstad",
		zones: []string{"randstad-a", "gelderland-a", "brabant-a"},
		slots: 3, connectionLimit: 45, connectTime: 12 * time.Millisecond, caller: "mechanic", writeClass: "job-card",
	},
	{
		service: "planting-ledger", database: "planting-1-a", region: "tanga",
		zones: []string{"tanga-a", "dar-a", "kilwa-a"},
		slots: 5, connectionLimit: 140, connectTime: 30 * time.Millisecond, caller: "crew", writeClass: "pay-claim",
	},
}

// zoneLatency is the one-way network latency between two availability zones.
const zoneLatency = 1500 * time.Microsecond

// hostLayout describes a gypsumgap process: its name and location, its listen
// addresses as host:port, and the path of its settings file.
type hostLayout struct {
	name, zone, region            string
	listen, forward, peers, admin string
	settings                      string
}

// layout holds the addresses and the file paths of a demo run.
type layout struct {
	dir                 string
	platform            string
	groupsAdmin         string
	hosts               []hostLayout
	slots               map[string][]group.Slot
	standinFile         string
	hostListFile        string
	configurationFolder string
}

// newLayout chooses free ports and writes all settings and configuration files to
// dir.
func newLayout(dir string) (*layout, error) {
	l := &layout{dir: dir, slots: map[string][]group.Slot{}}
	w := &fileWriter{}
	l.platform = w.freeAddress("127.0.0.1")
	l.groupsAdmin = w.freeAddress("127.0.0.1")
	for d, dep := range deployments {
		for z, zone := range dep.zones {
			for range hostsPerZone {
				l.addHost(w, fmt.Sprintf("127.0.%d.1", zoneSubnet(d, z)), zone, dep.region)
			}
		}
	}
	l.standinFile = filepath.Join(dir, "standin.yaml")
	l.hostListFile = filepath.Join(dir, "hosts.json")
	l.configurationFolder = filepath.Join(dir, "config")
	l.writeStandin(w)
	l.writeHosts(w)
	l.writeConfiguration(w)
	return l, w.err
}

// zoneSubnet returns the number of an availability zone. Hosts and backend servers of
// the zone have addresses 127.0.<number>.x, from which the stand-in derives the zone.
func zoneSubnet(deployment, zone int) int { return 10*(deployment+1) + zone }

func (l *layout) addHost(w *fileWriter, ip, zone, region string) {
	l.hosts = append(l.hosts, hostLayout{
		name: fmt.Sprintf("e%d", len(l.hosts)), zone: zone, region: region,
		listen: w.freeAddress(ip), forward: w.freeAddress(ip), peers: w.freeAddress(ip), admin: w.freeAddress(ip),
		settings: filepath.Join(l.dir, fmt.Sprintf("e%d.yaml", len(l.hosts))),
	})
}

func (l *layout) writeStandin(w *fileWriter) {
	s := dbgroup.Settings{
		AdminListen: l.groupsAdmin,
		Latency:     latency.Settings{Zones: map[string][]string{}, Within: latency.Duration(100 * time.Microsecond)},
	}
	for d, dep := range deployments {
		for z, zone := range dep.zones {
			s.Latency.Zones[zone] = []string{fmt.Sprintf("127.0.%d.0/24", zoneSubnet(d, z))}
			for _, other := range dep.zones[:z] {
				s.Latency.Links = append(s.Latency.Links, latency.Link{A: zone, B: other, OneWay: latency.Duration(zoneLatency)})
			}
		}
		g := dbgroup.GroupSettings{
			Name: dep.database, Schema: load.Schema,
			ConnectionLimit: dep.connectionLimit, ConnectTime: latency.Duration(dep.connectTime), ApplyLag: latency.Duration(20 * time.Millisecond),
		}
		for i := range dep.slots {
			z := i % len(dep.zones)
			id := fmt.Sprintf("%s/%d", dep.database, i)
			address := w.freeAddress(fmt.Sprintf("127.0.%d.%d", zoneSubnet(d, z), 100+i))
			g.Slots = append(g.Slots, dbgroup.SlotOptions{ID: id, Address: address, Zone: dep.zones[z]})
			l.slots[dep.database] = append(l.slots[dep.database],
				group.Slot{ID: group.SlotID(id), Address: address, Zone: dep.zones[z], Region: dep.region})
		}
		s.Groups = append(s.Groups, g)
	}
	w.yaml(l.standinFile, s)
}

func (l *layout) writeHosts(w *fileWriter) {
	var list []platform.Host
	for _, h := range l.hosts {
		list = append(list, platform.Host{Name: h.name, Address: h.peers, Zone: h.zone, Region: h.region, State: platform.HostLive})
		w.yaml(h.settings, yaml.MapSlice{
			{Key: "host", Value: h.name},
			{Key: "availability_zone", Value: h.zone},
			{Key: "region", Value: h.region},
			{Key: "listen", Value: h.listen},
			{Key: "forward_listen", Value: h.forward},
			{Key: "peer_listen", Value: h.peers},
			{Key: "admin_listen", Value: h.admin},
			{Key: "platform", Value: "http://" + l.platform},
			{Key: "drain_timeout", Value: "5s"},
		})
	}
	data, err := json.Marshal(list)
	w.keepError(err)
	w.file(l.hostListFile, data)
}

func (l *layout) writeConfiguration(w *fileWriter) {
	for i, dep := range deployments {
		var slots []yaml.MapSlice
		for _, s := range l.slots[dep.database] {
			slots = append(slots, yaml.MapSlice{
				{Key: "id", Value: string(s.ID)}, {Key: "address", Value: s.Address},
				{Key: "zone", Value: s.Zone}, {Key: "region", Value: s.Region},
			})
		}
		service := yaml.MapSlice{
			{Key: "objectives", Value: yaml.MapSlice{
				{Key: "answered_within", Value: "500ms"}, {Key: "answered_share", Value: 0.999},
				{Key: "writable_share", Value: 0.9999}, {Key: "replica_read_share", Value: 0.8},
			}},
			{Key: "callers", Value: []yaml.MapSlice{{{Key: "user", Value: dep.caller}, {Key: "verifier", Value: w.verifier(callerPassword)}}}},
			{Key: "databases", Value: []yaml.MapSlice{{
				{Key: "name", Value: dep.database}, {Key: "connection_limit", Value: dep.connectionLimit}, {Key: "slots", Value: slots},
			}}},
			{Key: "classes", Value: []yaml.MapSlice{
				{
					{Key: "name", Value: dep.writeClass}, {Key: "priority", Value: 0}, {Key: "deadline", Value: "10s"},
					{Key: "repeatable", Value: false}, {Key: "read", Value: false},
				},
				{
					{Key: "name", Value: "own-read"}, {Key: "priority", Value: 1}, {Key: "deadline", Value: "10s"},
					{Key: "repeatable", Value: true}, {Key: "read", Value: true},
				},
				{
					{Key: "name", Value: load.StatusPageClass}, {Key: "priority", Value: 2}, {Key: "deadline", Value: "10s"},
					{Key: "repeatable", Value: true}, {Key: "read", Value: true}, {Key: "max_age", Value: "10s"},
				},
			}},
		}
		file := filepath.Join(l.configurationFolder, fmt.Sprintf("%02d-%s.yaml", i, dep.service))
		w.yaml(file, yaml.MapSlice{{Key: "services", Value: yaml.MapSlice{{Key: dep.service, Value: service}}}})
	}
}

// fileWriter writes files and keeps the first error that occurs.
type fileWriter struct{ err error }

func (w *fileWriter) keepError(err error) {
	if w.err == nil && err != nil {
		w.err = err
	}
}

// freeAddress returns the IP address with a free port. Another process may take the
// port before it is used; the process that is to listen on it then fails to start.
func (w *fileWriter) freeAddress(ip string) string {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		w.keepError(fmt.Errorf("choose a free port: %w", err))
		return ""
	}
	defer ln.Close()
	return ln.Addr().String()
}

func (w *fileWriter) yaml(file string, v any) {
	data, err := yaml.Marshal(v)
	w.keepError(err)
	w.file(file, data)
}

func (w *fileWriter) file(name string, data []byte) {
	w.keepError(os.MkdirAll(filepath.Dir(name), 0o755))
	w.keepError(os.WriteFile(name, data, 0o600))
}

// verifier returns the SCRAM-SHA-256 verifier of a password in PostgreSQL's format.
func (w *fileWriter) verifier(password string) string {
	salt := make([]byte, 16)
	_, err := rand.Read(salt)
	w.keepError(err)
	client, err := scram.SHA256.NewClient("", password, "")
	if err != nil {
		w.keepError(err)
		return ""
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: scramIterations})
	w.keepError(err)
	return strings.Join([]string{
		"SCRAM-SHA-256",
		fmt.Sprintf("%d:%s", scramIterations, base64.StdEncoding.EncodeToString(salt)),
		base64.StdEncoding.EncodeToString(stored.StoredKey) + ":" + base64.StdEncoding.EncodeToString(stored.ServerKey),
	}, "$")
}
