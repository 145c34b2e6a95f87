// Package burn computes the burn rates of service-level objectives from the
// metrics of hosts, over several windows.
//
// A burn rate is the share of bad events divided by the share that the
// objective allows. At a rate of 1 the error budget of a period is used up
// exactly at its end; at 14.4, two percent of a 30-day budget are used in an
// hour. An alert rule has a long and a short window and fires if the rates of
// both exceed its threshold. The short window ends the alert soon after the
// cause has ended.
//
// Hosts export counters without history. Each scrape therefore adds the
// increase since the previous one to a history, which the operator keeps in a
// file. A counter that is lower than before belongs to a restarted host and
// is counted from 0.
package burn
