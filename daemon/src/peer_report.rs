//! Load and progress that members report.

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

/// Load of this process.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnLoad {
    /// Requests in flight to each VM.
    pub(crate) in_flight: BTreeMap<VmId, u32>,
    /// Requests that are waiting for a slot, by pool.
    pub(crate) waiting: BTreeMap<PoolId, u32>,
}

/// Last report of a member about its requests and workers.
#[derive(Clone, Debug)]
pub(crate) struct MemberLoad {
    /// Lower bound of the time of the report, on the clock of this process.
    pub(crate) reported_at: TimeMs,
    /// Offset of the next record that the member will apply.
    pub(crate) next_offset: Offset,
    /// Requests in flight from the member to each VM.
    pub(crate) in_flight: BTreeMap<VmId, u32>,
    /// Requests of the member that are waiting for a slot, by pool.
    pub(crate) waiting: BTreeMap<PoolId, u32>,
    /// Workers of VMs with an operation.
    pub(crate) workers: Vec<WorkerEntry>,
}

/// Which members have applied an offset.
pub(crate) struct Progress {
    /// True if a majority of the members has applied the offset.
    pub(crate) accepted: bool,
    /// Progress of each member.
    pub(crate) members: Vec<MemberProgress>,
}

/// Progress of one member.
pub(crate) struct MemberProgress {
    /// Name of the process.
    pub(crate) name: String,
    /// True if the member has applied the offset.
    pub(crate) applied: bool,
    /// True if the last report of the member is so old that its view must be
    /// stale.
    pub(crate) stale: bool,
    /// Age of the member's last report.
    pub(crate) age_ms: u64,
}

/// State of the view of this process, and what is known of the members.
pub(crate) struct PeerStatus {
    /// State of the view.
    pub(crate) view: ViewState,
    /// Age of the last confirmation of the view.
    pub(crate) confirmed_age_ms: Option<u64>,
    /// True if the log service is reachable.
    pub(crate) log_reachable: bool,
    /// Members in the control state, with the last report of each other member.
    pub(crate) members: Vec<(SessionId, Option<MemberReport>)>,
    /// Time at which the status was taken.
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
        let reported_offset = match report {
            _ if is_me => state.next_offset,
            Some(report) => report.next_offset,
            None => Offset(0),
        };
        // A renewal of the session in the log may be newer than the report.
        let next_offset = reported_offset.max(session.next_offset);
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

/// The members with their last reports.
pub(crate) fn members(
    state: &ControlState,
    freshness: &FreshnessTracker,
) -> Vec<(SessionId, Option<MemberReport>)> {
    let report = |session: &SessionId| (*session, freshness.members().get(session).cloned());
    state.sessions.keys().map(report).collect()
}
