//! Rendezvous hashing, by which all processes choose the same member for a key
//! without communication.

use sha2::Digest;
use sha2::Sha256;

use crate::ids::SessionId;

/// The member with the highest score for `key`.
pub fn winner<I>(key: u64, members: I) -> Option<SessionId>
where
    I: IntoIterator<Item = SessionId>,
{
    members.into_iter().max_by_key(|member| (score(key, member.0), *member))
}

/// All members in descending order of their scores for `key`.
pub fn ranked<I>(key: u64, members: I) -> Vec<SessionId>
where
    I: IntoIterator<Item = SessionId>,
{
    let mut ranked: Vec<_> =
        members.into_iter().map(|member| (score(key, member.0), member)).collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.into_iter().map(|(_, member)| member).collect()
}

/// Score of a candidate for a key. The hash function must not change, since
/// all versions of the program must agree on the scores.
pub fn score(key: u64, candidate: u64) -> u64 {
    let mut hasher = Sha256::new();
    hasher.update(key.to_be_bytes());
    hasher.update(candidate.to_be_bytes());
    let digest = hasher.finalize();
    digest.iter().take(8).fold(0, |score, byte| (score << 8) | u64::from(*byte))
}
