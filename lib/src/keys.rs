//! Keys that teams present, compared without a timing difference.

use sha2::Digest;
use sha2::Sha256;
use subtle::ConditionallySelectable;
use subtle::ConstantTimeEq;

use crate::control::ControlState;
use crate::ids::TeamId;

/// SHA-256 of a presented key.
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a presented key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

/// The keys that are granted now.
#[derive(Clone, Debug, Default)]
pub struct TeamKeys {
    keys: Vec<([u8; 32], TeamId)>,
}

impl TeamKeys {
    /// All keys of the teams in force.
    pub fn of(state: &ControlState) -> Self {
        let keys = state
            .teams
            .iter()
            .filter(|(_, team)| !team.removed)
            .flat_map(|(id, team)| team.spec.keys.iter().map(move |key| (key.sha256, id)))
            .collect();
        Self { keys }
    }

    /// The team whose key was presented. Compares against every key in
    /// constant time, so the duration does not tell which key matched.
    pub fn team(&self, presented: &KeyDigest) -> Option<TeamId> {
        let mut team = 0_u32;
        let mut found = 0_u32;
        for (sha256, candidate) in &self.keys {
            let equal = sha256.as_slice().ct_eq(presented.0.as_slice());
            team.conditional_assign(&candidate.0, equal);
            found.conditional_assign(&1, equal);
        }
        (found == 1).then_some(TeamId(team))
    }
}
