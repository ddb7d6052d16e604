//! What members say of their load, and how far each of them is.

use std::collections::BTreeMap;

use cowslipport_lib::control::ControlState;
use cowslipport_lib::control::Session;
use cowslipport_lib::freshness::CONFIRMATION_MAX_AGE_MS;
use cowslipport_lib::freshness::FreshnessTracker;
use cowslipport_lib::freshness::MemberReport;
use cowslipport_lib::freshness::ViewState;
use cowslipport_lib::ids::Offset;
use cowslipport_lib::ids::PoolId;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::time::TimeMs;

use crate::peer_wire::WorkerEntry;

/// Requests of this process.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnLoad {
    /// Requests in flight to each VM.
    pub(crate) in_flight: BTreeMap<VmId, u32>,
    /// Requests that wait for a slot, by pool.
    pub(crate) waiting: BTreeMap<PoolId, u32>,
}

/// What a member said of its requests and workers.
#[derive(Clone, Debug)]
pub(crate) struct MemberLoad {
    /// When it said so, on this process's clock and not later than in truth.
    pub(crate) reported_at: TimeMs,
    /// Offset of the next record that it will apply.
    pub(crate) next_offset: Offset,
    /// Requests in flight from the member to each VM.
    pub(crate) in_flight: BTreeMap<VmId, u32>,
    /// Requests of the member that wait for a slot, by pool.
    pub(crate) waiting: BTreeMap<PoolId, u32>,
    /// Workers of VMs that have an operation.
    pub(crate) workers: Vec<WorkerEntry>,
}

/// Which members have applied an offset.
pub(crate) struct Progress {
    /// True if a majority has.
    pub(crate) accepted: bool,
    /// Each member.
    pub(crate) members: Vec<MemberProgress>,
}

/// How far one member is.
pub(crate) struct MemberProgress {
    /// Name of the process.
    pub(crate) name: String,
    /// True if it has applied the offset.
    pub(crate) applied: bool,
    /// True if it has been silent for so long that its view is stale.
    pub(crate) stale: bool,
    /// Age of what it said last.
    pub(crate) age_ms: u64,
}

/// The state of the view and of the members.
pub(crate) struct PeerStatus {
    /// State of the view.
    pub(crate) view: ViewState,
    /// Age of the last confirmation.
    pub(crate) confirmed_age_ms: Option<u64>,
    /// True if the log answers.
    pub(crate) log_reachable: bool,
    /// Members of the fold with what is known of them.
    pub(crate) members: Vec<(SessionId, Option<MemberReport>)>,
    /// The time of the report.
    pub(crate) now: TimeMs,
    /// True if the digest of this process differs from that of a majority.
    pub(crate) diverged: bool,
}

/// Which members have applied an offset.
pub(crate) fn progress(
    state: &ControlState,
    freshness: &FreshnessTracker,
    me: SessionId,
    now: TimeMs,
    offset: Offset,
) -> Progress {
    let member = |(id, session): (&SessionId, &Session)| {
        let report = freshness.members().get(id);
        let is_me = *id == me;
        let said = match report {
            _ if is_me => state.next_offset,
            Some(report) => report.next_offset,
            None => Offset(0),
        };
        // A renewal in the log may tell more than the last exchange.
        let next_offset = said.max(session.next_offset);
        let age_ms = match report {
            _ if is_me => 0,
            Some(report) => now.since(report.reported_at),
            None => now.0,
        };
        MemberProgress {
            name: session.open.name.clone(),
            applied: next_offset > offset,
            stale: age_ms > CONFIRMATION_MAX_AGE_MS,
            age_ms,
        }
    };
    Progress {
        accepted: freshness.majority_applied(offset, me, state),
        members: state.sessions.iter().map(member).collect(),
    }
}

/// The members with what they said last.
pub(crate) fn members(
    state: &ControlState,
    freshness: &FreshnessTracker,
) -> Vec<(SessionId, Option<MemberReport>)> {
    let report = |session: &SessionId| (*session, freshness.members().get(session).cloned());
    state.sessions.keys().map(report).collect()
}
