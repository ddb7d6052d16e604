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

/// A key that is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyGrant {
    /// Team that holds the key.
    pub team: TeamId,
    /// Index of the key among those of its team.
    pub index: u32,
}

/// The keys that are granted now.
#[derive(Clone, Debug, Default)]
pub struct TeamKeys {
    keys: Vec<([u8; 32], KeyGrant)>,
}

impl TeamKeys {
    /// All keys of the teams in force.
    pub fn of(state: &ControlState) -> Self {
        let mut keys = Vec::new();
        for (team, entry) in state.teams.iter().filter(|(_, team)| !team.removed) {
            for (index, key) in (0..).zip(&entry.spec.keys) {
                keys.push((key.sha256, KeyGrant { team, index }));
            }
        }
        Self { keys }
    }

    /// The grant of a presented key. Compares against every key in constant
    /// time, so the duration does not tell which key matched.
    pub fn grant(&self, presented: &KeyDigest) -> Option<KeyGrant> {
        let (mut team, mut index, mut found) = (0_u32, 0_u32, 0_u32);
        for (sha256, candidate) in &self.keys {
            let equal = sha256.as_slice().ct_eq(presented.0.as_slice());
            team.conditional_assign(&candidate.team.0, equal);
            index.conditional_assign(&candidate.index, equal);
            found.conditional_assign(&1, equal);
        }
        (found == 1).then_some(KeyGrant { team: TeamId(team), index })
    }

    /// The team whose key was presented.
    pub fn team(&self, presented: &KeyDigest) -> Option<TeamId> {
        Some(self.grant(presented)?.team)
    }
}
