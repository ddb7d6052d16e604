//! Keys of organisations, which are compared in constant time.

use sha2::Digest;
use sha2::Sha256;
use subtle::ConditionallySelectable;
use subtle::ConstantTimeEq;

use crate::control::ControlState;
use crate::ids::OrganisationId;

/// SHA-256 of a presented key.
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Hashes a presented key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

/// A key that an organisation may present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptedKey {
    /// Organisation that holds the key.
    pub organisation: OrganisationId,
    /// Index of the key among those of its organisation.
    pub index: u32,
}

/// The keys that organisations may present at the moment.
#[derive(Clone, Debug, Default)]
pub struct OrganisationKeys {
    keys: Vec<([u8; 32], AcceptedKey)>,
}

impl OrganisationKeys {
    /// Returns all keys of the organisations in the manifest.
    pub fn of(state: &ControlState) -> Self {
        let mut keys = Vec::new();
        for (organisation, entry) in
            state.organisations.iter().filter(|(_, organisation)| !organisation.removed)
        {
            for (index, key) in (0..).zip(&entry.spec.keys) {
                keys.push((key.sha256, AcceptedKey { organisation, index }));
            }
        }
        Self { keys }
    }

    /// Creates the set of keys from their SHA-256 digests.
    pub fn from_digests(keys: Vec<([u8; 32], AcceptedKey)>) -> Self {
        Self { keys }
    }

    /// Finds a presented key. It is compared with every key in constant time,
    /// so that the duration does not reveal which key matched.
    pub fn find(&self, presented: &KeyDigest) -> Option<AcceptedKey> {
        let (mut organisation, mut index, mut found) = (0_u32, 0_u32, 0_u32);
        for (sha256, candidate) in &self.keys {
            let equal = sha256.as_slice().ct_eq(presented.0.as_slice());
            organisation.conditional_assign(&candidate.organisation.0, equal);
            index.conditional_assign(&candidate.index, equal);
            found.conditional_assign(&1, equal);
        }
        (found == 1).then_some(AcceptedKey { organisation: OrganisationId(organisation), index })
    }

    /// Returns the organisation whose key was presented.
    pub fn organisation(&self, presented: &KeyDigest) -> Option<OrganisationId> {
        Some(self.find(presented)?.organisation)
    }
}
