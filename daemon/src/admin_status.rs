//! Report for the `status` command of operators.

use cowslipport_lib::budget;
use cowslipport_lib::config::BudgetScope;
use cowslipport_lib::control::ControlState;
use cowslipport_lib::control::Pool;
use cowslipport_lib::control::Wave;
use cowslipport_lib::freshness::ViewState;
use cowslipport_lib::ids::PoolId;
use cowslipport_lib::protos::peer as raw;
use cowslipport_lib::record::WavePhase;

use crate::peer_report::PeerStatus;

/// Status of the fleet as one process sees it.
pub(crate) fn report(state: &ControlState, peers: &PeerStatus) -> raw::StatusReply {
    raw::StatusReply {
        revision: state.revision.0,
        author: state.revision_author.clone(),
        next_offset: state.next_offset.0,
        freshness: view_name(peers.view).to_owned(),
        pools: state.pools.iter().map(|(id, pool)| pool_status(state, id, pool)).collect(),
        organisations: organisations(state),
        data_centres: data_centres(state),
        waves: state.waves.iter().map(|(_, wave)| wave_status(state, wave)).collect(),
        members: members(state, peers),
        degraded: degraded(state, peers),
    }
}

fn view_name(view: ViewState) -> &'static str {
    match view {
        ViewState::Confirmed => "confirmed",
        ViewState::Outage => "outage",
        ViewState::Stale => "stale",
    }
}

fn pool_status(state: &ControlState, id: PoolId, pool: &Pool) -> raw::PoolStatus {
    let vms: Vec<_> = state.vms.iter().filter(|(_, vm)| vm.pool == id).collect();
    let unavailable = vms
        .first()
        .map_or(0, |(_, vm)| budget::unavailable_in_domain(state, vm, BudgetScope::Pool));
    let pool_budget = pool.budgets.iter().find(|budget| budget.scope == BudgetScope::Pool);
    let owner = state.owners.iter().find(|(partition, _)| partition.pool == id);
    let session = owner.and_then(|(_, ownership)| state.sessions.get(&ownership.owner?));
    raw::PoolStatus {
        name: pool.spec.name.clone(),
        vms: u32::try_from(vms.len()).unwrap_or(u32::MAX),
        unavailable,
        max_unavailable: pool_budget.map_or(u32::MAX, |budget| budget.max_unavailable),
        owner: session.map(|session| session.open.name.clone()).unwrap_or_default(),
    }
}

fn organisations(state: &ControlState) -> Vec<raw::OrganisationStatus> {
    let active = state.organisations.iter().filter(|(_, organisation)| !organisation.removed);
    let status = |(id, organisation): (_, &cowslipport_lib::control::Organisation)| {
        raw::OrganisationStatus {
            name: organisation.spec.name.clone(),
            share_milli: organisation.spec.share_milli,
            limit: Some(organisation.spec.limit.into()),
            granted: Some(state.granted(id).into()),
        }
    };
    active.map(status).collect()
}

fn data_centres(state: &ControlState) -> Vec<raw::DataCentreStatus> {
    let status = |(id, entry): (_, &cowslipport_lib::control::DataCentre)| {
        let vms = state.vms.iter().filter(|(_, vm)| vm.data_centre == id).count();
        raw::DataCentreStatus {
            name: entry.spec.name.clone(),
            region: entry.spec.region.clone(),
            in_service: entry.in_service,
            vms: u32::try_from(vms).unwrap_or(u32::MAX),
        }
    };
    state.data_centres.iter().map(status).collect()
}

fn wave_status(state: &ControlState, wave: &Wave) -> raw::WaveStatus {
    let in_wave = |pool: PoolId| {
        let name = state.pools.get(pool).map(|pool| &pool.spec.name);
        name.is_some_and(|name| wave.spec.pools.contains(name))
    };
    let total = state.vms.iter().filter(|(_, vm)| in_wave(vm.pool)).count();
    let phase = match wave.phase {
        WavePhase::Running => "running",
        WavePhase::Halted => "halted",
        WavePhase::Finished => "finished",
    };
    let count = |value: usize| u32::try_from(value).unwrap_or(u32::MAX);
    raw::WaveStatus {
        name: wave.spec.name.clone(),
        phase: phase.to_owned(),
        width: wave.width,
        done: count(wave.done.len()),
        failed: count(wave.failed.len()),
        total: count(total),
    }
}

fn members(state: &ControlState, peers: &PeerStatus) -> Vec<raw::MemberStatus> {
    let status = |(id, report): &(_, Option<cowslipport_lib::freshness::MemberReport>)| {
        let open = &state.sessions.get(id)?.open;
        let this_process = report.is_none();
        Some(raw::MemberStatus {
            name: open.name.clone(),
            data_centre: open.data_centre.clone(),
            log_reachable: report
                .as_ref()
                .map_or(peers.log_reachable, |report| report.log_reachable),
            next_offset: report.as_ref().map_or(state.next_offset.0, |report| report.next_offset.0),
            age_ms: match report {
                Some(report) => peers.now.since(report.reported_at),
                None if this_process => 0,
                None => peers.now.0,
            },
        })
    };
    peers.members.iter().filter_map(status).collect()
}

fn degraded(state: &ControlState, peers: &PeerStatus) -> Vec<String> {
    let mut lines = Vec::new();
    if !peers.log_reachable {
        lines.push("the log service does not answer".to_owned());
    }
    if peers.diverged {
        lines.push("the state of this process differs from that of a majority".to_owned());
    }
    match peers.view {
        ViewState::Confirmed => {}
        ViewState::Outage => lines.push("no member can reach the log service".to_owned()),
        ViewState::Stale => {
            let age = peers.confirmed_age_ms.map_or_else(
                || "never confirmed".to_owned(),
                |age_ms| format!("confirmed {age_ms} ms ago"),
            );
            lines.push(format!("the view is stale ({age}); new work is refused"));
        }
    }
    for (_, data_centre) in state.data_centres.iter().filter(|(_, entry)| !entry.in_service) {
        lines.push(format!("data centre {} is out of service", data_centre.spec.name));
    }
    for (_, wave) in state.waves.iter().filter(|(_, wave)| wave.phase == WavePhase::Halted) {
        lines.push(format!("wave {} is halted", wave.spec.name));
    }
    lines
}
