//! Lower bounds on buffer and moves for policies that know the demand trace.
//!
//! At some moment of each burst, a pool must have the VMs that the burst needs
//! plus the reserve that its budget may take out of service, or at least as
//! many VMs as the measured policy had; with fewer, more work would wait too
//! long. In the gap after the burst such a VM either stays in the pool or
//! leaves it, and a VM that leaves first drains for `move_ms` in the pool. At
//! most the length of the burst of this drain lies outside the gap, so the pool
//! holds the VM in the gap for at least the shorter of the gap and the rest of
//! the drain.

use cowslipport_lib::buffer::WAIT_SAMPLES;
use cowslipport_lib::buffer::required_vms;

use crate::profile::Profile;
use crate::trace::Burst;
use crate::trace::TRACE_SECONDS;
use crate::trace::Trace;

/// VMs that a pool needs in one burst.
#[derive(Clone, Copy, Debug)]
struct BurstNeed {
    vms: usize,
    /// VMs, with the reserve, that a policy must have at some moment of the burst
    /// to serve it as well as the measured policy.
    required: usize,
    /// VM-seconds of work in the burst.
    work: f64,
    /// First second of the time in which the work of the burst has to be done, and
    /// first second after it.
    start: f64,
    end: f64,
}

/// Cost weights for which the cheapest policy is computed.
#[derive(Clone, Copy, Debug)]
struct CostWeights {
    /// Cost of holding a VM for a second.
    price: f64,
    /// Cost of a VM that joins a pool.
    arrival: f64,
    /// Cost of a VM that leaves a pool.
    departure: f64,
}

/// VMs that the measured policy held, with which policies that know the trace
/// are compared.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldVms {
    /// VM-seconds that service pools held.
    pub(crate) vm_seconds: f64,
    /// Most VMs that each pool had in each of its bursts.
    pub(crate) peaks: Vec<Vec<u32>>,
}

/// Inputs from which the bounds are computed.
pub(crate) struct Bound {
    needs: Vec<Vec<BurstNeed>>,
    reserve: usize,
    move_seconds: f64,
    /// VMs of a pool at the start.
    initial_vms: usize,
    /// VM-seconds of work.
    pub(crate) used_vm_seconds: f64,
}

impl Bound {
    pub(crate) fn new(profile: &Profile, trace: &Trace, held_vms: &HeldVms) -> Self {
        let slots = f64::from(profile.slots_per_vm);
        let services = 0..profile.services as usize;
        let used = services
            .clone()
            .flat_map(|service| trace.offered(service))
            .map(|offered| f64::from(offered) / slots)
            .sum();
        let reserve = profile.pool_budget as usize;
        let need = |(burst, most): (&Burst, &u32)| {
            let samples = vec![burst.slots; (burst.end - burst.start) as usize];
            let vms = required_vms(&samples, profile.slots_per_vm) as usize;
            BurstNeed {
                vms,
                required: (vms + reserve).min(*most as usize),
                work: samples.iter().map(|sample| f64::from(*sample) / slots).sum(),
                start: f64::from(burst.start),
                end: f64::from(burst.end) + WAIT_SAMPLES as f64,
            }
        };
        let needs =
            |id: usize| trace.bursts[id].iter().zip(&held_vms.peaks[id]).map(need).collect();
        Self {
            needs: services.map(needs).collect(),
            reserve,
            move_seconds: profile.move_ms as f64 / 1000.0,
            initial_vms: (profile.vms / (profile.services + 1)) as usize,
            used_vm_seconds: used,
        }
    }

    /// VM-seconds that a fixed split holds in which each pool always has the VMs
    /// and the reserve that its largest burst needs.
    pub(crate) fn fixed_split_vm_seconds(&self) -> f64 {
        let most =
            |needs: &Vec<BurstNeed>| needs.iter().map(|need| need.vms).max().unwrap_or_default();
        let vms: usize = self.needs.iter().map(|needs| most(needs) + self.reserve).sum();
        vms as f64 * f64::from(TRACE_SECONDS)
    }

    /// Lower bound on the VM-seconds that pools hold.
    pub(crate) fn held_vm_seconds(&self) -> f64 {
        let pool = |needs: &Vec<BurstNeed>| {
            let gaps = gaps(needs).map(|(need, gap)| {
                need.required.saturating_sub(self.reserve) as f64 * self.min_gap_hold(need, gap)
            });
            self.base_vm_seconds(needs) + gaps.sum::<f64>()
        };
        self.needs.iter().map(pool).sum()
    }

    /// Least number of seconds of the gap after a burst for which a pool holds a VM
    /// that the burst needed.
    fn min_gap_hold(&self, need: &BurstNeed, gap: f64) -> f64 {
        gap.min(self.move_seconds - (need.end - need.start)).max(0.0)
    }

    /// VM-seconds that every policy holds outside the gaps: the reserve at all
    /// times and the work of each burst, less the work of the VMs that the
    /// measured policy did without.
    fn base_vm_seconds(&self, needs: &[BurstNeed]) -> f64 {
        let work = |need: &BurstNeed| {
            let lacking = (need.vms + self.reserve - need.required) as f64;
            need.work - lacking * (need.end - need.start)
        };
        self.reserve as f64 * f64::from(TRACE_SECONDS) + needs.iter().map(work).sum::<f64>()
    }

    /// The fewest moves of any policy that serves every burst as well and
    /// holds no more VM-seconds.
    ///
    /// For each price of a VM-second, the cheapest policy costs
    /// `min(moves + price * held)`. A policy that holds at most `held` VM-seconds
    /// then makes at least this cost less `price * held` moves. The bound is the
    /// largest value over all prices.
    ///
    /// A move brings at most one VM into the pool of a service and takes at
    /// most one out of another. A weighted mean of arrivals and departures is
    /// therefore at most the number of moves, whatever the weight.
    pub(crate) fn fewest_moves(&self, held: f64) -> f64 {
        let at = |arrival: f64, price: f64| -> f64 {
            let weights = CostWeights { price, arrival, departure: 1.0 - arrival };
            let cost: f64 = self.needs.iter().map(|needs| self.least_cost(needs, weights)).sum();
            cost - price * held
        };
        // Prices from one move for 10 VM-seconds to one move for 28 VM-hours.
        let prices = (0..40).map(|step| 0.1 / 1.35_f64.powi(step));
        let best = |arrival: f64| prices.clone().map(move |price| at(arrival, price));
        [0.5, 0.75, 1.0].into_iter().flat_map(best).fold(0.0, f64::max)
    }

    /// Least cost of one pool, by dynamic programming over its bursts.
    fn least_cost(&self, needs: &[BurstNeed], weights: CostWeights) -> f64 {
        let largest_need = needs.iter().map(|need| need.vms).max().unwrap_or_default();
        let max_vms = (largest_need + self.reserve).max(self.initial_vms);
        let mut costs = vec![f64::INFINITY; max_vms + 1];
        costs[self.initial_vms] = 0.0;
        let mut before: Option<(&BurstNeed, f64)> = None;
        for (need, gap) in gaps(needs) {
            costs = (0..=max_vms)
                .map(|to| {
                    if to < need.required {
                        return f64::INFINITY;
                    }
                    (0..=max_vms)
                        .map(|from| costs[from] + self.gap_cost(from, to, before, weights))
                        .fold(f64::INFINITY, f64::min)
                })
                .collect();
            before = Some((need, gap));
        }
        costs.into_iter().fold(f64::INFINITY, f64::min)
            + weights.price * self.base_vm_seconds(needs)
    }

    /// Cost of the gap before a burst, in which the pool goes from `from` to `to`
    /// VMs. VMs needed after the gap are either held, or leave and return; VMs
    /// that leave are held while they drain. The reserve is counted separately.
    fn gap_cost(
        &self,
        from: usize,
        to: usize,
        before: Option<(&BurstNeed, f64)>,
        weights: CostWeights,
    ) -> f64 {
        let CostWeights { price, arrival, departure } = weights;
        let (gap, min_hold) =
            before.map_or((0.0, 0.0), |(need, gap)| (gap, self.min_gap_hold(need, gap)));
        let stay = from.min(to).saturating_sub(self.reserve) as f64;
        let leave = from.saturating_sub(to.max(self.reserve)) as f64;
        let arrive = to.saturating_sub(from) as f64;
        stay * (price * gap).min(price * min_hold + arrival + departure)
            + leave * (price * min_hold + departure)
            + arrive * arrival
    }
}

/// Each burst with the seconds from its end to the start of the next one.
fn gaps(needs: &[BurstNeed]) -> impl Iterator<Item = (&BurstNeed, f64)> {
    let next = needs.iter().skip(1).map(|need| need.start).chain([f64::from(TRACE_SECONDS)]);
    needs.iter().zip(next).map(|(need, start)| (need, (start - need.end).max(0.0)))
}
