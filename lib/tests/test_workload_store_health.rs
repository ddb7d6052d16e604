//! Failures of the store as one node sees them: lost answers, loss of the store, and loss
//! of one kind of calls.

use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::key::JobKey;
use cowslipport_lib::workload::store_health::StoreCallOutcome;
use cowslipport_lib::workload::store_health::StoreHealth;
use cowslipport_lib::workload::store_health::StoreState;

const NOW: TimeMs = TimeMs(10_000);

/// One lost answer is no loss of the store: callers wait for the repetition.
#[test]
fn single_lost_answer_refuses_nobody() {
    let mut health = StoreHealth::default();
    health.append_ended(NOW, StoreCallOutcome::NoAnswer);
    assert_eq!(health.state(NOW), StoreState::Doubtful);
    assert!(!health.state(NOW).refuses());
    health.append_ended(NOW, StoreCallOutcome::Answered);
    assert_eq!(health.state(NOW), StoreState::Available);
}

/// While the store is lost, probes are few, and only an answered one ends the loss.
#[test]
fn probes_of_a_lost_store_are_few() {
    let mut health = StoreHealth::default();
    for _ in 0..2 {
        health.append_ended(NOW, StoreCallOutcome::Refused);
    }
    assert!(health.state(NOW).refuses());
    let mut probes = 0;
    for ms in 0..10_000 {
        let now = NOW.plus(ms);
        if health.is_probe_due(now) {
            probes += 1;
            health.append_ended(now, StoreCallOutcome::NoAnswer);
        }
    }
    assert!((9..=13).contains(&probes), "{probes} probes in 10 s");
    health.append_ended(NOW.plus(10_000), StoreCallOutcome::Answered);
    assert_eq!(health.state(NOW.plus(10_000)), StoreState::Available);
}

/// A read that is answered after failed ones makes a probe due at once: the store is
/// likely back, and callers needn't be refused until the next probe.
#[test]
fn answered_read_makes_a_probe_due() {
    let mut health = StoreHealth::default();
    health.append_ended(NOW, StoreCallOutcome::NoAnswer);
    health.read_ended(StoreCallOutcome::NoAnswer);
    assert_eq!(health.state(NOW), StoreState::Lost);
    health.append_ended(NOW, StoreCallOutcome::NoAnswer);
    assert!(!health.is_probe_due(NOW));
    health.read_ended(StoreCallOutcome::Answered);
    assert_eq!(health.state(NOW), StoreState::Lost, "appends may still fail");
    assert!(health.is_probe_due(NOW));
}

/// Reads alone show the loss of the store, but not while appends are answered: one
/// partition or one kind of calls may be lost.
#[test]
fn reads_show_the_loss_unless_appends_are_answered() {
    let mut health = StoreHealth::default();
    health.append_ended(NOW, StoreCallOutcome::Answered);
    for _ in 0..5 {
        health.read_ended(StoreCallOutcome::NoAnswer);
    }
    assert_eq!(health.state(NOW.plus(1_000)), StoreState::Available);
    assert_eq!(health.state(NOW.plus(1_001)), StoreState::Lost);
}

/// A submission that may have been stored is remembered, since a refusal would promise
/// that it never runs.
#[test]
fn submission_without_an_answer_is_remembered() {
    let mut health = StoreHealth::default();
    health.outcome_unknown(NOW, JobKey(1));
    assert!(health.may_be_stored(NOW.plus(5_000), JobKey(1)));
    assert!(!health.may_be_stored(NOW, JobKey(2)));
}
