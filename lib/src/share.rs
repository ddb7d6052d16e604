//! Weighted max-min fairness over the dominant resource.

use std::collections::BTreeMap;

use crate::ids::TeamId;
use crate::resources::Resources;

/// What one team has and wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamDemand {
    /// Weight in thousandths. A weight of zero counts as one thousandth, so
    /// that the team gets what the others leave.
    pub share_milli: u32,
    /// What its tasks use and its queued jobs ask for, within its limit.
    pub demand: Resources,
}

/// Place of a team in the order of service; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceRank {
    /// Dominant share in use for each unit of weight.
    weighted_share: u128,
    /// The team; equal shares are served in the order of ids.
    pub team: TeamId,
}

/// Place of a team that uses `used` of `total`. A team that uses nothing comes
/// before all that use something, whatever its weight, so no team starves.
pub fn service_rank(
    team: TeamId,
    share_milli: u32,
    used: Resources,
    total: Resources,
) -> ServiceRank {
    let share = u128::from(used.dominant_share_ppm(total)) * 1_000_000;
    ServiceRank { weighted_share: share / u128::from(share_milli.max(1)), team }
}

/// The dominant share, in millionths of `total`, that weighted max-min
/// fairness gives each team: no team gets more than it asks for, and what a
/// team leaves goes to the others by weight.
pub fn fair_shares(
    total: Resources,
    demands: &BTreeMap<TeamId, TeamDemand>,
) -> BTreeMap<TeamId, u64> {
    let mut shares = BTreeMap::new();
    let mut open: BTreeMap<TeamId, (u64, u64)> = demands
        .iter()
        .map(|(team, entry)| {
            let asked = entry.demand.dominant_share_ppm(total).min(1_000_000);
            (*team, (asked, u64::from(entry.share_milli.max(1))))
        })
        .collect();
    let mut left: u64 = 1_000_000;
    while !open.is_empty() {
        let weights: u64 = open.values().map(|(_, weight)| weight).sum();
        let part = |weight: u64| left * weight / weights;
        let satisfied: Vec<(TeamId, u64)> = open
            .iter()
            .filter(|(_, (asked, weight))| *asked <= part(*weight))
            .map(|(team, (asked, _))| (*team, *asked))
            .collect();
        if satisfied.is_empty() {
            shares.extend(open.iter().map(|(team, (_, weight))| (*team, part(*weight))));
            break;
        }
        for (team, asked) in satisfied {
            open.remove(&team);
            left -= asked.min(left);
            shares.insert(team, asked);
        }
    }
    shares
}
