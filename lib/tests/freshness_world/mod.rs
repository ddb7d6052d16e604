//! Simulation of five processes that read one log and exchange reports, over
//! links that delay messages and fail.

use std::collections::BTreeMap;

use cowslipport_lib::config::ConfigChange;
use cowslipport_lib::config::ConfigCommit;
use cowslipport_lib::config::DataCentreOutPolicy;
use cowslipport_lib::config::DataCentreSpec;
use cowslipport_lib::config::PoolSpec;
use cowslipport_lib::control::ControlState;
use cowslipport_lib::freshness::CONFIRMATION_MAX_AGE_MS;
use cowslipport_lib::freshness::FreshnessTracker;
use cowslipport_lib::freshness::MemberReport;
use cowslipport_lib::freshness::ViewState;
use cowslipport_lib::ids::Offset;
use cowslipport_lib::ids::PartitionId;
use cowslipport_lib::ids::RecordId;
use cowslipport_lib::ids::Revision;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::record::ControlRecord;
use cowslipport_lib::record::RecordBody;
use cowslipport_lib::record::SessionOpen;
use cowslipport_lib::session::SESSION_LEASE_MS;
use cowslipport_lib::session::SessionKeeper;
use cowslipport_lib::session::StartAuthority;
use cowslipport_lib::session::TICKET_LIFETIME_MS;
use cowslipport_lib::time::TimeMs;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub(crate) const PROCESSES: usize = 5;
pub(crate) const STEP_MS: u64 = 50;
pub(crate) const POLL_INTERVAL_MS: u64 = 500;
pub(crate) const MAX_DELAY_MS: u64 = 400;

/// A message in flight.
pub(crate) enum Message {
    Read { to: usize, sent_at: TimeMs, head: Offset, records: Vec<(Offset, ControlRecord)> },
    ReadFailed { to: usize },
    Report { to: usize, from: usize, sent_at: TimeMs, report: AgedReport },
    Fetched { to: usize, records: Vec<(Offset, ControlRecord)> },
    Append { record: ControlRecord },
}

/// Report of a process on its own view, with the age of its confirmation.
pub(crate) struct AgedReport {
    pub(crate) next_offset: Offset,
    pub(crate) log_reachable: bool,
    pub(crate) confirmed_age_ms: Option<u64>,
}

pub(crate) struct Process {
    pub(crate) state: ControlState,
    pub(crate) freshness: FreshnessTracker,
    pub(crate) keeper: SessionKeeper,
    pub(crate) sequence: u64,
    pub(crate) paused_until: TimeMs,
}

pub(crate) struct Simulation {
    pub(crate) now: TimeMs,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) max_delay_ms: u64,
    pub(crate) poll_interval_ms: u64,
    pub(crate) log: Vec<ControlRecord>,
    pub(crate) log_up: [bool; PROCESSES],
    pub(crate) link_up: [[bool; PROCESSES]; PROCESSES],
    pub(crate) processes: Vec<Process>,
    pub(crate) in_flight: BTreeMap<(TimeMs, u64), Message>,
    pub(crate) sent: u64,
    pub(crate) accepted_at: BTreeMap<Offset, TimeMs>,
    pub(crate) last_granted: BTreeMap<(PartitionId, usize), TimeMs>,
}

impl Simulation {
    pub(crate) fn new(seed: u64) -> Self {
        let mut sim = Self {
            now: TimeMs(10_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            max_delay_ms: MAX_DELAY_MS,
            poll_interval_ms: POLL_INTERVAL_MS,
            log: Vec::new(),
            log_up: [true; PROCESSES],
            link_up: [[true; PROCESSES]; PROCESSES],
            processes: (0..PROCESSES).map(process).collect(),
            in_flight: BTreeMap::new(),
            sent: 0,
            accepted_at: BTreeMap::new(),
            last_granted: BTreeMap::new(),
        };
        sim.append(99, 1, initial_commit());
        sim.run_ms(20_000);
        sim
    }

    pub(crate) fn append(&mut self, writer: u64, sequence: u64, body: RecordBody) {
        self.log.push(ControlRecord { id: RecordId { writer, sequence }, body });
    }

    pub(crate) fn send(&mut self, message: Message) {
        let delay_ms = self.rng.random_range(0..=self.max_delay_ms);
        self.sent += 1;
        self.in_flight.insert((self.now.plus(delay_ms), self.sent), message);
    }

    pub(crate) fn run_ms(&mut self, duration_ms: u64) {
        let end = self.now.plus(duration_ms);
        while self.now < end {
            self.now = self.now.plus(STEP_MS);
            self.deliver();
            for index in 0..PROCESSES {
                if self.processes[index].paused_until <= self.now {
                    self.run_process(index);
                }
            }
            self.record_accepted();
            self.assert_invariants();
        }
    }

    pub(crate) fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Message::Read { to, sent_at, head, records } => {
                    let process = &mut self.processes[to];
                    process.apply(&records);
                    let applied = process.state.next_offset;
                    process.freshness.log_answered(sent_at, head, applied);
                    process.freshness.applied(applied);
                }
                Message::ReadFailed { to } => self.processes[to].freshness.log_failed(),
                Message::Report { to, from, sent_at, report } => {
                    let process = &mut self.processes[to];
                    let confirmed_at = report
                        .confirmed_age_ms
                        .and_then(|age_ms| sent_at.0.checked_sub(age_ms))
                        .map(TimeMs);
                    let report = MemberReport {
                        next_offset: report.next_offset,
                        log_reachable: report.log_reachable,
                        confirmed_at,
                        reported_at: sent_at,
                        digest: None,
                    };
                    let applied = process.state.next_offset;
                    process.freshness.member_reported(session(from), report, applied);
                }
                Message::Fetched { to, records } => {
                    let process = &mut self.processes[to];
                    process.apply(&records);
                    process.freshness.applied(process.state.next_offset);
                }
                Message::Append { record } => self.log.push(record),
            }
        }
    }

    pub(crate) fn run_process(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let due = process.keeper.due_records(self.now, &process.state, &process.freshness);
        for body in due {
            self.processes[index].sequence += 1;
            let sequence = self.processes[index].sequence;
            let id = RecordId { writer: session(index).0, sequence };
            if self.log_up[index] {
                self.send(Message::Append { record: ControlRecord { id, body } });
            }
        }
        // Polls and exchanges are out of phase between processes.
        let phase_ms = self.now.0 + 100 * index as u64;
        if phase_ms.is_multiple_of(self.poll_interval_ms) {
            self.read(index);
        }
        if phase_ms.is_multiple_of(500) {
            self.exchange_reports(index);
        }
    }

    pub(crate) fn read(&mut self, index: usize) {
        if !self.log_up[index] {
            self.send(Message::ReadFailed { to: index });
            return;
        }
        let from = self.processes[index].state.next_offset;
        let records = records_from(&self.log, from);
        let head = Offset(self.log.len() as u64);
        self.send(Message::Read { to: index, sent_at: self.now, head, records });
    }

    pub(crate) fn exchange_reports(&mut self, index: usize) {
        for other in (0..PROCESSES).filter(|other| *other != index) {
            if !self.link_up[index][other] || self.processes[other].paused_until > self.now {
                continue;
            }
            let report = self.processes[other].report(self.now);
            let (from, sent_at) = (other, self.now);
            self.send(Message::Report { to: index, from, sent_at, report });
        }
        let process = &self.processes[index];
        let applied = process.state.next_offset;
        let ahead = process.freshness.most_advanced_member(self.now, applied);
        if let (false, Some(member)) = (process.freshness.log_reachable(), ahead) {
            let other = (0..PROCESSES).find(|other| session(*other) == member).expect("a process");
            if self.link_up[index][other] {
                let known = self.processes[other].state.next_offset.0 as usize;
                let records = records_from(&self.log[..known], applied);
                self.send(Message::Fetched { to: index, records });
            }
        }
    }

    pub(crate) fn record_accepted(&mut self) {
        for offset in 0..self.log.len() as u64 {
            let applied = self.processes.iter().filter(|entry| entry.state.next_offset.0 > offset);
            if applied.count() > PROCESSES / 2 {
                self.accepted_at.entry(Offset(offset)).or_insert(self.now);
            }
        }
    }

    pub(crate) fn assert_invariants(&mut self) {
        for index in 0..PROCESSES {
            let process = &self.processes[index];
            if process.paused_until > self.now {
                continue;
            }
            let view = process.freshness.view(self.now, session(index), &process.state);
            if view == ViewState::Stale {
                continue;
            }
            self.assert_no_accepted_record_missing(index, view);
            self.assert_exclusive_authority(index, view);
        }
    }

    pub(crate) fn assert_no_accepted_record_missing(&self, index: usize, view: ViewState) {
        let next = self.processes[index].state.next_offset;
        let missing = self.accepted_at.range(next..).next();
        if let Some((offset, accepted_at)) = missing {
            let age_ms = self.now.since(*accepted_at);
            assert!(
                age_ms <= CONFIRMATION_MAX_AGE_MS,
                "process {index} is {view:?} without offset {offset}, accepted {age_ms} ms ago"
            );
        }
    }

    pub(crate) fn assert_exclusive_authority(&mut self, index: usize, view: ViewState) {
        let process = &self.processes[index];
        for (partition, ownership) in &process.state.owners {
            let authority =
                process.keeper.start_authority(self.now, *partition, &process.state, view);
            if authority != StartAuthority::Granted {
                continue;
            }
            for other in (0..PROCESSES).filter(|other| *other != index) {
                let last = self.last_granted.get(&(*partition, other)).copied();
                let tickets_expired =
                    last.is_none_or(|at| self.now.since(at) >= TICKET_LIFETIME_MS);
                assert!(
                    tickets_expired || ownership.released,
                    "processes {index} and {other} may both start work in {partition}"
                );
            }
            self.last_granted.insert((*partition, index), self.now);
        }
    }
}

impl Process {
    pub(crate) fn apply(&mut self, records: &[(Offset, ControlRecord)]) {
        for (offset, record) in records {
            if *offset == self.state.next_offset {
                self.state.apply(*offset, record);
            }
        }
    }

    pub(crate) fn report(&self, now: TimeMs) -> AgedReport {
        AgedReport {
            next_offset: self.state.next_offset,
            log_reachable: self.freshness.log_reachable(),
            confirmed_age_ms: self.freshness.confirmed_at().map(|at| now.since(at)),
        }
    }
}

pub(crate) fn session(index: usize) -> SessionId {
    SessionId(index as u64 + 1)
}

pub(crate) fn process(index: usize) -> Process {
    let open = SessionOpen {
        session: session(index),
        name: format!("entry-{index}"),
        data_centre: "dc1".to_owned(),
        peer_address: String::new(),
        lease_ms: SESSION_LEASE_MS,
    };
    Process {
        state: ControlState::default(),
        freshness: FreshnessTracker::default(),
        keeper: SessionKeeper::new(open),
        sequence: 0,
        paused_until: TimeMs(0),
    }
}

pub(crate) fn records_from(log: &[ControlRecord], from: Offset) -> Vec<(Offset, ControlRecord)> {
    let entries = log.iter().enumerate().skip(from.0 as usize);
    entries.map(|(offset, record)| (Offset(offset as u64), record.clone())).collect()
}

pub(crate) fn initial_commit() -> RecordBody {
    let pool = |name: &str| {
        ConfigChange::PutPool(PoolSpec {
            name: name.to_owned(),
            slots_per_vm: 8,
            min_vms: 0,
            max_vms: 50,
            spare: false,
            on_data_centre_out: DataCentreOutPolicy::Finish,
            drain_timeout_ms: 60_000,
        })
    };
    let data_centre = DataCentreSpec { name: "dc1".to_owned(), region: "south".to_owned() };
    let changes =
        vec![ConfigChange::PutDataCentre(data_centre), pool("p1"), pool("p2"), pool("p3")];
    RecordBody::ConfigCommit(ConfigCommit {
        expected_revision: Revision(0),
        author: "ana".to_owned(),
        changes,
    })
}
