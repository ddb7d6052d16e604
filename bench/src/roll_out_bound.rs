//! Lower bound on the time in which any policy can maintain all VMs.
//!
//! Even a policy that knows all durations has at most `max_unavailable` VMs of a
//! failure domain out of service, and at most as many VMs in maintenance or soak
//! as the width of the wave. The width doubles when as many VMs as it allows
//! have soaked. This happens earliest if the VMs with the shortest maintenance
//! go first and the wave always uses its full width.

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

/// The lower bound in milliseconds.
pub(crate) fn bound_ms(profile: &Profile, trace: &Trace) -> f64 {
    let durations: Vec<f64> =
        (0..profile.vms).map(|vm| out_of_service_ms(profile, trace, vm) as f64).collect();
    let steps = earliest_steps(profile, &durations);
    let fleet = fleet_ms(profile, &steps, &durations);
    let longest = durations.iter().copied().fold(0.0, f64::max);
    domain_work(profile, trace)
        .into_iter()
        .map(|(capacity, work)| domain_ms(&steps, capacity, work))
        .fold(fleet.max(longest), f64::max)
}

/// Least time for the whole fleet. In the steps before the widest, VMs that soak
/// count against the width, so no VMs are maintained but those that complete the
/// step. The others are maintained as many at a time as all pool budgets allow
/// together, up to the largest width.
fn fleet_ms(profile: &Profile, steps: &[(f64, f64)], durations: &[f64]) -> f64 {
    let mut sorted = durations.to_vec();
    sorted.sort_by(f64::total_cmp);
    let narrow = &steps[..steps.len() - 1];
    let soaked: f64 = narrow.iter().map(|(width, _)| width).sum();
    let narrow_ms: f64 = narrow.iter().map(|(_, duration)| duration).sum();
    let rest: f64 = sorted.iter().skip(soaked as usize).sum();
    let pools = f64::from((profile.services + 1) * profile.pool_budget);
    narrow_ms + rest / pools.min(f64::from(profile.max_width))
}

/// Width and least duration of each step; the last step has no end.
fn earliest_steps(profile: &Profile, durations: &[f64]) -> Vec<(f64, f64)> {
    let mut sorted = durations.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut steps = Vec::new();
    let mut width = profile.initial_width as usize;
    let mut begun = 0;
    while width < profile.max_width as usize && begun + width <= sorted.len() {
        let step = &sorted[begun..begun + width];
        let soaked_after = step.iter().map(|duration| duration + profile.soak_ms as f64);
        steps.push((width as f64, soaked_after.sum::<f64>() / width as f64));
        begun += width;
        width = (width * 2).min(profile.max_width as usize);
    }
    steps.push((width as f64, f64::INFINITY));
    steps
}

/// Time until `work` milliseconds of maintenance are done, with as many VMs at a
/// time as the width and `capacity` allow.
fn domain_ms(steps: &[(f64, f64)], capacity: f64, work: f64) -> f64 {
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

/// Budget of each failure domain and the total time that its VMs are out of
/// service. VMs that do not come back use the budget until they are repaired.
/// Only as many of these repairs as the budget allows, counted as the longest
/// ones, can end after the wave and are left out.
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
