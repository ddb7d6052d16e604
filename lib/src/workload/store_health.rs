//! What a node's calls show of the store, so that callers don't wait for calls that
//! nobody will answer.
//!
//! Appends and reads are told apart: the store may answer one kind only, and it may turn
//! away single nodes. Only an answered append shows that submissions can be stored again.

use std::collections::BTreeMap;

use crate::time::TimeMs;
use crate::workload::key::JobKey;

/// Failed calls in a row after which the store counts as lost. A single answer may be
/// lost while the store works.
const LOST_AFTER_FAILURES: u32 = 2;
/// An append that was answered within this time goes before failures of reads: a
/// submission needs only appends.
const APPEND_EVIDENCE_MS: u64 = 1_000;
/// Pause after the first probe that failed; it doubles up to [`PROBE_PAUSE_MAX_MS`].
const PROBE_PAUSE_MIN_MS: u64 = 250;
/// Longest pause between two probes. Outages last for some seconds, and callers are told
/// to come back after one.
const PROBE_PAUSE_MAX_MS: u64 = 1_000;
/// For how long a submission whose append was not answered may still be stored. The store
/// may carry out a call seconds later.
const UNKNOWN_KEPT_MS: u64 = 10_000;
/// Largest number of such submissions that are kept.
const UNKNOWN_MAX: usize = 4_096;

/// How a call to the store ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoreCallOutcome {
    /// The store answered and did what was asked.
    Answered,
    /// The store, or the network, refused the call: nothing was done.
    Refused,
    /// There was no answer: the call may have been carried out.
    NoAnswer,
}

/// Whether submissions are sent to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoreState {
    /// Submissions are sent.
    Available,
    /// The last append failed. Submissions wait until its repetition tells whether only
    /// an answer was lost.
    Doubtful,
    /// An append has been without an answer for too long. Submissions are refused until
    /// it ends.
    Silent,
    /// Several calls in a row have failed. Submissions are refused until a probe is
    /// answered.
    Lost,
}

impl StoreState {
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Available => "available",
            Self::Doubtful => "doubtful",
            Self::Silent => "silent",
            Self::Lost => "lost",
        }
    }

    /// Whether a submission that has not been sent is refused.
    pub fn refuses(self) -> bool {
        match self {
            Self::Available | Self::Doubtful => false,
            Self::Silent | Self::Lost => true,
        }
    }
}

/// The store as the calls of one node show it.
#[derive(Clone, Debug, Default)]
pub struct StoreHealth {
    /// Appends that failed since the last one that was answered.
    failed_appends: u32,
    /// Reads that failed since the last one that was answered.
    failed_reads: u32,
    append_answered_at: Option<TimeMs>,
    is_append_silent: bool,
    /// When the next probe is due; none for at once.
    next_probe_at: Option<TimeMs>,
    probe_pause_ms: u64,
    /// Submissions that may have been stored without an answer, and since when.
    unknown: BTreeMap<JobKey, TimeMs>,
}

impl StoreHealth {
    /// Records that an append has ended.
    pub fn append_ended(&mut self, now: TimeMs, outcome: StoreCallOutcome) {
        self.is_append_silent = false;
        match outcome {
            StoreCallOutcome::Answered => {
                self.failed_appends = 0;
                self.failed_reads = 0;
                self.append_answered_at = Some(now);
                self.next_probe_at = None;
                self.probe_pause_ms = 0;
            }
            StoreCallOutcome::Refused | StoreCallOutcome::NoAnswer => {
                self.failed_appends = self.failed_appends.saturating_add(1);
                let doubled = self.probe_pause_ms.saturating_mul(2);
                self.probe_pause_ms = doubled.clamp(PROBE_PAUSE_MIN_MS, PROBE_PAUSE_MAX_MS);
                self.next_probe_at = Some(now.plus(self.probe_pause_ms));
            }
        }
    }

    /// Records that the append under way has been without an answer for too long.
    pub fn append_is_silent(&mut self) {
        self.is_append_silent = true;
    }

    /// Records that a read has ended. After failed reads, an answer makes a probe due: the
    /// store may be back.
    pub fn read_ended(&mut self, outcome: StoreCallOutcome) {
        match outcome {
            StoreCallOutcome::Answered => {
                if std::mem::take(&mut self.failed_reads) > 0 {
                    self.next_probe_at = None;
                }
            }
            StoreCallOutcome::Refused | StoreCallOutcome::NoAnswer => {
                self.failed_reads = self.failed_reads.saturating_add(1);
            }
        }
    }

    /// The state at `now`.
    pub fn state(&self, now: TimeMs) -> StoreState {
        if self.is_lost(now) {
            StoreState::Lost
        } else if self.is_append_silent {
            StoreState::Silent
        } else if self.failed_appends > 0 {
            StoreState::Doubtful
        } else {
            StoreState::Available
        }
    }

    /// Reads alone show the loss only if no append has been answered lately.
    fn is_lost(&self, now: TimeMs) -> bool {
        let has_evidence =
            self.append_answered_at.is_some_and(|at| now.since(at) <= APPEND_EVIDENCE_MS);
        self.failed_appends >= LOST_AFTER_FAILURES
            || (self.failed_appends > 0 && self.failed_reads > 0)
            || (self.failed_reads >= LOST_AFTER_FAILURES && !has_evidence)
    }

    /// Whether a probe, an append without records, should be sent now.
    pub fn is_probe_due(&self, now: TimeMs) -> bool {
        self.state(now) == StoreState::Lost && self.next_probe_at.is_none_or(|at| at <= now)
    }

    /// Records that a submission may have been stored.
    pub fn outcome_unknown(&mut self, now: TimeMs, job: JobKey) {
        self.unknown.retain(|_, since| now.since(*since) <= UNKNOWN_KEPT_MS);
        if self.unknown.len() < UNKNOWN_MAX {
            self.unknown.insert(job, now);
        }
    }

    /// Whether an earlier call of this node may have stored the submission, so that a
    /// refusal could not promise that it never runs.
    pub fn may_be_stored(&self, now: TimeMs, job: JobKey) -> bool {
        self.unknown.get(&job).is_some_and(|since| now.since(*since) <= UNKNOWN_KEPT_MS)
    }
}
