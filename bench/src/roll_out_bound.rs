//! The shortest time in which any policy can maintain all VMs.
//!
//! A policy may know all durations. It still has at most `max_unavailable`
//! VMs of a domain out of service, and at most as many VMs unproven as the
//! width. The width doubles when as many VMs as it allows have come back and
//! stayed healthy; the earliest that this can happen is when the shortest
//! ones went first and no place was ever empty.

use std::collections::BTreeMap;

use cowslipport_lib::budget::FailureDomain;

use crate::fleet::Fleet;
use crate::profile::Profile;
use crate::trace::Trace;

/// Time for which maintenance takes a VM out of service.
pub(crate) fn out_of_service_ms(profile: &Profile, trace: &Trace, vm: u32) -> u64 {
    let maintenance = trace.maintenance[vm as usize];
    maintenance.drain_ms + maintenance.reboot_ms.unwrap_or(profile.reboot_timeout_ms)
}

/// The bound in milliseconds.
pub(crate) fn bound_ms(profile: &Profile, trace: &Trace) -> f64 {
    let durations: Vec<f64> =
        (0..profile.vms).map(|vm| out_of_service_ms(profile, trace, vm) as f64).collect();
    let steps = earliest_steps(profile, &durations);
    let fleet = fleet_time(profile, &steps, &durations);
    let longest = durations.iter().copied().fold(0.0, f64::max);
    domain_work(profile, trace)
        .into_iter()
        .map(|(capacity, work)| time_for(&steps, capacity, work))
        .fold(fleet.max(longest), f64::max)
}

/// Time of the whole fleet. In the steps before the widest, every VM that
/// proves a step takes its soak time out of the width, so no more is done than
/// maintaining these VMs; the rest is done by as many as all budgets of pools
/// allow together.
fn fleet_time(profile: &Profile, steps: &[(f64, f64)], durations: &[f64]) -> f64 {
    let mut sorted = durations.to_vec();
    sorted.sort_by(f64::total_cmp);
    let narrow = &steps[..steps.len() - 1];
    let proven: f64 = narrow.iter().map(|(width, _)| width).sum();
    let narrow_time: f64 = narrow.iter().map(|(_, duration)| duration).sum();
    let rest: f64 = sorted.iter().skip(proven as usize).sum();
    let pools = f64::from((profile.services + 1) * profile.pool_budget);
    narrow_time + rest / pools.min(f64::from(profile.max_width))
}

/// Width and duration of each step at its earliest; the last has no end.
fn earliest_steps(profile: &Profile, durations: &[f64]) -> Vec<(f64, f64)> {
    let mut sorted = durations.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut steps = Vec::new();
    let mut width = profile.initial_width as usize;
    let mut begun = 0;
    while width < profile.max_width as usize && begun + width <= sorted.len() {
        let step = &sorted[begun..begun + width];
        let proven = step.iter().map(|duration| duration + profile.soak_ms as f64);
        steps.push((width as f64, proven.sum::<f64>() / width as f64));
        begun += width;
        width = (width * 2).min(profile.max_width as usize);
    }
    steps.push((width as f64, f64::INFINITY));
    steps
}

/// Time until `work` is done by as many VMs at a time as the width and
/// `capacity` allow.
fn time_for(steps: &[(f64, f64)], capacity: f64, work: f64) -> f64 {
    let mut left = work;
    let mut time = 0.0;
    for (width, duration) in steps {
        let rate = width.min(capacity);
        if left <= rate * duration {
            return time + left.max(0.0) / rate;
        }
        left -= rate * duration;
        time += duration;
    }
    time
}

/// Budget of each domain and the time that its VMs are out of service. The
/// repair of VMs that do not come back uses up the budget too, except for as
/// many as the budget allows, which can be the last ones.
fn domain_work(profile: &Profile, trace: &Trace) -> Vec<(f64, f64)> {
    let fleet = Fleet::new(profile);
    let mut members: BTreeMap<_, (u32, Vec<u32>)> = BTreeMap::new();
    for (id, vm) in fleet.state.vms.iter() {
        let pool = fleet.state.pools.get(vm.pool).expect("every VM has a pool");
        for budget in &pool.budgets {
            let domain = (vm.pool, FailureDomain::of(vm, budget.scope));
            members.entry(domain).or_insert((budget.max_unavailable, Vec::new())).1.push(id.0);
        }
    }
    members
        .into_values()
        .map(|(max_unavailable, vms)| {
            let out: u64 = vms.iter().map(|vm| out_of_service_ms(profile, trace, *vm)).sum();
            let mut repairs: Vec<u64> = vms
                .iter()
                .map(|vm| trace.maintenance[*vm as usize])
                .filter(|maintenance| maintenance.reboot_ms.is_none())
                .map(|maintenance| maintenance.repair_ms)
                .collect();
            repairs.sort_unstable_by(|left, right| right.cmp(left));
            let repairs: u64 = repairs.iter().skip(max_unavailable as usize).sum();
            (f64::from(max_unavailable), (out + repairs) as f64)
        })
        .collect()
}
