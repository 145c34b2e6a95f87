// Package burn compares the objectives of services with what the hosts
// measure, as burn rates over several windows.
//
// A burn rate is the share of bad events divided by the share that the
// objective allows: at 1 the error budget of a period is used up exactly at
// its end, at 14.4 two percent of a 30-day budget are used in an hour. A
// pair of windows raises an alarm if the rates of both exceed its threshold;
// the short window ends the alarm soon after the cause has ended.
//
// Hosts report counters and keep no past. Each scrape therefore adds the
// increase since the previous one to a history, which the operator keeps in a
// file. A counter that is lower than before belongs to a restarted host and
// counts from 0.
package burn
