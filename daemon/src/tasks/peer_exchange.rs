//! Exchanges of state with other processes. While the log is unreachable, a
//! process also fetches records from a member that is further ahead.

use std::net::SocketAddr;

use cowslipport_lib::freshness::MemberReport;
use cowslipport_lib::time::TimeMs;

use crate::clients::peer;
use crate::clients::peer::ExchangeError;
use crate::peer_report::MemberLoad;
use crate::peer_wire::MemberEntry;
use crate::tasks::peer::PeerMessage;
use crate::tasks::peer::PeerTask;
use crate::tasks::router::RouterMessage;

/// Largest number of members that one round of exchanges asks.
const EXCHANGE_FANOUT: usize = 8;
/// Largest number of records in one fetch, the same as in one read of the log.
const FETCH_RECORDS: u32 = 1024;

impl PeerTask {
    pub(super) fn exchange(&mut self, now: TimeMs) {
        let me = self.me;
        for address in self.exchange_targets() {
            let mut client = self.config.clients.get(address);
            let Some(sender) = self.sender.upgrade() else { return };
            actix_rt::spawn(async move {
                let result = peer::exchange(&mut client, me).await;
                let _ = sender.send(PeerMessage::ExchangeDone { sent_at: now, result }).await;
            });
        }
    }

    /// Addresses to ask in this round: all other members or, if they are more
    /// than the fan-out, the next ones in turn.
    pub(super) fn exchange_targets(&mut self) -> Vec<SocketAddr> {
        let others = self.state.sessions.values().filter(|session| session.open.session != self.me);
        let mut addresses: Vec<SocketAddr> =
            others.filter_map(|session| session.open.peer_address.parse().ok()).collect();
        if addresses.is_empty() {
            addresses.clone_from(&self.config.seeds);
        }
        let count = addresses.len();
        if count > EXCHANGE_FANOUT {
            addresses.rotate_left(self.next_target % count);
            addresses.truncate(EXCHANGE_FANOUT);
            self.next_target += EXCHANGE_FANOUT;
        }
        addresses
    }

    pub(super) fn handle_exchange(
        &mut self,
        sent_at: TimeMs,
        result: Result<Vec<MemberEntry>, ExchangeError>,
    ) {
        let Ok(entries) = result else { return };
        let applied = self.state.next_offset;
        for entry in entries.into_iter().filter(|entry| entry.session != self.me) {
            let report = MemberReport {
                next_offset: entry.next_offset,
                log_reachable: entry.log_reachable,
                confirmed_at: entry
                    .confirmed_age_ms
                    .and_then(|age_ms| sent_at.0.checked_sub(age_ms + entry.age_ms))
                    .map(TimeMs),
                reported_at: sent_at.minus(entry.age_ms),
                digest: entry.digest,
            };
            self.freshness.member_reported(entry.session, report, applied);
            if entry.age_ms == 0 {
                let (session, in_flight) = (entry.session, entry.in_flight);
                let load = MemberLoad {
                    reported_at: sent_at,
                    next_offset: entry.next_offset,
                    in_flight: in_flight.clone(),
                    waiting: entry.waiting,
                    workers: entry.workers,
                };
                self.others.insert(session, load);
                let message = RouterMessage::PeerInFlight { session, in_flight };
                // A dropped message does no harm: the next exchange sends
                // newer counts.
                let _ = self.config.router.try_send(message);
            }
        }
        self.freshness.retain_members(&self.state);
        self.compare_digests();
        let sessions = &self.state.sessions;
        self.others.retain(|session, _| sessions.contains_key(session));
        self.send_members();
    }

    /// The entry of this process. Entries of other members are not passed on,
    /// since every process can ask all members directly.
    pub(super) fn entries(&self) -> Vec<MemberEntry> {
        let now = self.config.clock.now();
        vec![MemberEntry {
            session: self.me,
            next_offset: self.state.next_offset,
            log_reachable: self.freshness.log_reachable(),
            confirmed_age_ms: self.freshness.confirmed_at().map(|at| now.since(at)),
            age_ms: 0,
            digest: self.digest,
            in_flight: self.load.in_flight.clone(),
            waiting: self.load.waiting.clone(),
            workers: self.workers.clone(),
        }]
    }

    pub(super) fn fetch_if_behind(&mut self, now: TimeMs) {
        if self.fetching || self.freshness.log_reachable() {
            return;
        }
        let applied = self.state.next_offset;
        let Some(member) = self.freshness.most_advanced_member(now, applied) else { return };
        let address = match self.state.sessions.get(&member) {
            Some(session) => session.open.peer_address.parse().ok(),
            None => self.config.seeds.first().copied(),
        };
        let (Some(address), Some(sender)) = (address, self.sender.upgrade()) else { return };
        self.fetching = true;
        let mut client = self.config.clients.get(address);
        let control = self.config.control.clone();
        actix_rt::spawn(async move {
            if let Some(message) = peer::fetch(&mut client, applied, FETCH_RECORDS).await {
                control.send(message).await;
            }
            let _ = sender.send(PeerMessage::FetchDone).await;
        });
    }
}
