//! Weighted max-min fairness over the dominant resource.

use std::collections::BTreeMap;

use crate::ids::OrganisationId;
use crate::resources::Resources;

/// Weight and demand of one organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrganisationDemand {
    /// Weight in thousandths. A weight of zero counts as one thousandth, so
    /// that the organisation gets what the others leave unused.
    pub share_milli: u32,
    /// Use of its tasks and requests of its queued jobs, within its limit.
    pub demand: Resources,
}

/// Rank of an organisation in the order of service; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceRank {
    /// Dominant share in use, divided by the weight.
    weighted_share: u128,
    /// The organisation; equal shares are served in the order of ids.
    pub organisation: OrganisationId,
}

/// Rank of an organisation that uses `used` of `total`. An organisation that
/// uses nothing comes before all that use something, whatever its weight, so
/// that no organisation starves.
pub fn service_rank(
    organisation: OrganisationId,
    share_milli: u32,
    used: Resources,
    total: Resources,
) -> ServiceRank {
    let share = u128::from(used.dominant_share_ppm(total)) * 1_000_000;
    ServiceRank { weighted_share: share / u128::from(share_milli.max(1)), organisation }
}

/// The dominant share, in millionths of `total`, that weighted max-min fairness
/// gives each organisation. No organisation gets more than its demand, and what
/// one leaves unused is divided among the others by weight.
pub fn fair_shares(
    total: Resources,
    demands: &BTreeMap<OrganisationId, OrganisationDemand>,
) -> BTreeMap<OrganisationId, u64> {
    let mut shares = BTreeMap::new();
    let mut unsatisfied: BTreeMap<OrganisationId, (u64, u64)> = demands
        .iter()
        .map(|(organisation, entry)| {
            let demand = entry.demand.dominant_share_ppm(total).min(1_000_000);
            (*organisation, (demand, u64::from(entry.share_milli.max(1))))
        })
        .collect();
    let mut left: u64 = 1_000_000;
    while !unsatisfied.is_empty() {
        let weights: u64 = unsatisfied.values().map(|(_, weight)| weight).sum();
        let fair_part = |weight: u64| left * weight / weights;
        let satisfied: Vec<(OrganisationId, u64)> = unsatisfied
            .iter()
            .filter(|(_, (demand, weight))| *demand <= fair_part(*weight))
            .map(|(organisation, (demand, _))| (*organisation, *demand))
            .collect();
        if satisfied.is_empty() {
            shares.extend(
                unsatisfied
                    .iter()
                    .map(|(organisation, (_, weight))| (*organisation, fair_part(*weight))),
            );
            break;
        }
        for (organisation, demand) in satisfied {
            unsatisfied.remove(&organisation);
            left -= demand.min(left);
            shares.insert(organisation, demand);
        }
    }
    shares
}
