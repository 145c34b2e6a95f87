package main

import "time"

// busyPause is the pause of a session between two operations on a busy day.
const busyPause = 15 * time.Millisecond

func init() {
	cases["late-order"] = lateOrder
	cases["new-replica"] = newReplica
	cases["draining-replica"] = drainingReplica
	cases["address"] = addressReuse
	cases["reborn"] = reborn
	cases["paused"] = pausedReplicas
}

// lateOrder: the primary is partitioned from the two hosts of one region for 3.5 s. The
// holder of the duty, one of them, orders a promotion. The platform goes down with that
// call: it gets no answer and is carried out 7 s later; the next calls get 503 for 4.5 s.
func lateOrder(w *world) error {
	primary := w.service.databases["i-p1"]
	w.clients.pause.Store(int64(2 * time.Second))
	w.clients.startSessions(w.inZone("randstad-a")[0], 2)
	if w.trouble {
		cut := addresses(w.inZone("gelderland-a"))
		w.cloud.disrupt(true, 7*time.Second)
		primary.setCut(cut, true)
		time.AfterFunc(3500*time.Millisecond, func() { primary.setCut(cut, false) })
		time.AfterFunc(4500*time.Millisecond, func() { w.cloud.disrupt(false, 0) })
	}
	w.at(4500 * time.Millisecond)
	w.clients.pause.Store(int64(busyPause))
	for _, h := range w.hosts {
		w.clients.startSessions(h, 3)
	}
	w.at(14 * time.Second)
	w.clients.stop()
	return nil
}

// newReplica: the primary is partitioned from the two hosts of one region for 5 s, and is
// replaced. A new replica starts before the promotion takes effect, as the first step of
// the planned replacement of another replica.
func newReplica(w *world) error {
	primary := w.service.databases["i-p1"]
	w.clients.pause.Store(int64(busyPause))
	for _, h := range w.hosts {
		w.clients.startSessions(h, 3)
	}
	w.at(2 * time.Second)
	if w.trouble {
		cut := addresses(w.inZone("gelderland-a"))
		primary.setCut(cut, true)
		time.AfterFunc(5*time.Second, func() { primary.setCut(cut, false) })
	}
	w.at(3300 * time.Millisecond)
	w.service.start("i-r3", "randstad-b", w.ip("8.4"))
	w.at(4300 * time.Millisecond)
	w.service.databases["i-r2"].drain()
	w.at(12 * time.Second)
	w.clients.stop()
	return nil
}

// drainingReplica: a replica reports draining and goes on receiving. The store is down
// for 4.5 s; entries lapse meanwhile and are back within 2 s of its return. Then the
// primary goes dark.
func drainingReplica(w *world) error {
	w.service.databases["i-r2"].drain()
	w.at(500 * time.Millisecond)
	if w.trouble {
		w.store.setDown(true)
		w.record.add("store", "down")
	}
	w.at(4600 * time.Millisecond)
	if w.trouble {
		for _, d := range w.service.all() {
			w.store.remove("servers", d.id)
		}
		w.record.add("store", "the entries of all databases have lapsed")
	}
	w.at(5 * time.Second)
	w.store.setDown(false)
	w.record.add("store", "up")
	w.clients.pause.Store(int64(busyPause))
	for _, h := range w.hosts {
		w.clients.startSessions(h, 3)
	}
	w.at(8500 * time.Millisecond)
	if w.trouble {
		w.service.databases["i-p1"].goDark(addresses(w.hosts))
	}
	w.at(15 * time.Second)
	w.clients.stop()
	return nil
}

// addressReuse: a replica leaves as planned while another one receives nothing for 6.5 s,
// and the primary goes dark in that time. A database of another service has started at the
// address of the one that left.
func addressReuse(w *world) error {
	other := newService("stock", 0, w.record, w.store, oneWay)
	w.service.databases["i-r2"].drain()
	w.clients.pause.Store(int64(busyPause))
	for _, h := range w.hosts {
		w.clients.startSessions(h, 3)
	}
	w.at(10 * time.Second)
	if w.trouble {
		w.service.databases["i-r1"].setDeaf(true)
		time.AfterFunc(6500*time.Millisecond, func() { w.service.databases["i-r1"].setDeaf(false) })
	}
	w.at(10800 * time.Millisecond)
	left := w.service.databases["i-r2"]
	left.leave()
	w.at(12900 * time.Millisecond)
	other.start("i-s1", "randstad-b", left.address)
	w.at(13500 * time.Millisecond)
	if w.trouble {
		w.service.databases["i-p1"].goDark(addresses(w.hosts))
	}
	w.at(20400 * time.Millisecond)
	w.clients.stop()
	return nil
}

// pausedReplicas: the primary is partitioned from the two hosts of one region for 4 s,
// and the platform is cut off for 4.5 s. While the holder of the duty waits for the answer
// to its order, a change of the configuration is acknowledged, and 100 ms later the
// processes of all hosts are killed.
func pausedReplicas(w *world) error {
	primary := w.service.databases["i-p1"]
	w.clients.pause.Store(int64(4 * busyPause))
	for _, h := range w.hosts {
		w.clients.startSessions(h, 3)
	}
	w.at(5 * time.Second)
	if w.trouble {
		cut := addresses(w.inZone("gelderland-a"))
		w.cloud.setSilent(true)
		primary.setCut(cut, true)
		time.AfterFunc(4*time.Second, func() { primary.setCut(cut, false) })
		time.AfterFunc(4500*time.Millisecond, func() { w.cloud.setSilent(false) })
	}
	w.at(8 * time.Second)
	w.writeConfiguration(2)
	time.Sleep(100 * time.Millisecond)
	if w.trouble {
		if err := w.killAll(800 * time.Millisecond); err != nil {
			return err
		}
	} else {
		w.killedAt, w.backAt = time.Now(), time.Now()
	}
	w.at(30 * time.Second)
	w.clients.stop()
	return nil
}

// reborn: the primary goes dark while one replica receives nothing. At the same moment the
// other one is partitioned from the store for 5 s, but not from the hosts; it crashes
// behind the cut and starts again without its log 2 s later.
func reborn(w *world) error {
	const (
		cut      = 5 * time.Second
		down     = 2 * time.Second
		lapseAge = 3 * heartbeatInterval
	)
	w.clients.pause.Store(int64(busyPause))
	for _, h := range w.hosts {
		w.clients.startSessions(h, 3)
	}
	w.at(3 * time.Second)
	if w.trouble {
		r1, r2 := w.service.databases["i-r1"], w.service.databases["i-r2"]
		r1.setDeaf(true)
		time.AfterFunc(6500*time.Millisecond, func() { r1.setDeaf(false) })
		time.Sleep(time.Second)
		w.record.add("network", "i-r2 cut from the store for %s", cut)
		w.service.databases["i-p1"].goDark(addresses(w.hosts))
		r2.crash()
		time.AfterFunc(lapseAge, func() {
			w.store.remove("servers", r2.id)
			w.record.add("store", "the entry of %s has lapsed", r2.id)
		})
		time.Sleep(down)
		r2.startAgain(cut - down)
	}
	w.at(10 * time.Second)
	w.clients.stop()
	return nil
}
