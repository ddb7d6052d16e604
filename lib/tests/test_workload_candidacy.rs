//! Tests of the choice of candidates for ownership.

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::candidacy::Candidacy;

const SMALL: u64 = 120;
const LARGE: u64 = 500;

fn small_among_large() -> Candidacy {
    let mut candidacy = Candidacy::new("small", SMALL, TimeMs(0));
    candidacy.node_started("small", SMALL);
    candidacy.node_started("large", LARGE);
    candidacy
}

fn is_candidate(candidacy: &Candidacy, now: u64) -> bool {
    candidacy.is_candidate(TimeMs(now), Some(TimeMs(now)), false)
}

#[test]
fn nodes_of_similar_size_are_all_candidates() {
    let mut candidacy = Candidacy::new("a", 250, TimeMs(0));
    assert!(!candidacy.is_candidate(TimeMs(0), None, false), "the other nodes are not known yet");
    for node in ["a", "b", "c"] {
        candidacy.node_started(node, 250);
    }
    candidacy.node_started("d", 400);
    assert!(is_candidate(&candidacy, 10));
    candidacy.owner_seen(TimeMs(20), "b");
    assert!(is_candidate(&candidacy, 30));
}

#[test]
fn small_node_is_candidate_without_an_owner() {
    let mut candidacy = small_among_large();
    candidacy.owner_seen(TimeMs(1_000), "large");
    assert!(!is_candidate(&candidacy, 3_900));
    assert!(is_candidate(&candidacy, 4_100));
    // The node's own record does not count, and an old view shows nothing.
    candidacy.owner_seen(TimeMs(4_000), "small");
    assert!(is_candidate(&candidacy, 4_100));
    assert!(!candidacy.is_candidate(TimeMs(9_000), Some(TimeMs(5_000)), false));
    candidacy.owner_seen(TimeMs(4_200), "large");
    assert!(!is_candidate(&candidacy, 4_300));
}

#[test]
fn small_owner_steps_down_for_a_large_node() {
    let mut candidacy = small_among_large();
    let stays_owner =
        |candidacy: &Candidacy, now| candidacy.is_candidate(TimeMs(now), Some(TimeMs(now)), true);
    assert!(stays_owner(&candidacy, 5_000));
    candidacy.members_seen(&["other".to_owned(), "small".to_owned()]);
    assert!(stays_owner(&candidacy, 5_100), "the large node is not a candidate");
    candidacy.members_seen(&["large".to_owned(), "small".to_owned()]);
    assert!(!stays_owner(&candidacy, 5_200));
    candidacy.left_group(TimeMs(5_300));
    assert!(
        !is_candidate(&candidacy, 8_200),
        "the large node needs time to announce its ownership"
    );
    assert!(is_candidate(&candidacy, 8_400), "the large node did not become the owner");
}

#[test]
fn large_node_stays_owner() {
    let mut candidacy = Candidacy::new("large", LARGE, TimeMs(0));
    candidacy.node_started("small", SMALL);
    candidacy.node_started("large", LARGE);
    candidacy.members_seen(&["large".to_owned(), "small".to_owned(), "larger".to_owned()]);
    assert!(candidacy.is_candidate(TimeMs(10), Some(TimeMs(10)), true));
    assert!(is_candidate(&candidacy, 10));
}
