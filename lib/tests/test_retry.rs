//! Phases of a request, the retry budget, and answers given instead of an
//! upstream's.

use cowslipport_lib::refusal::Answer;
use cowslipport_lib::refusal::FirstAttempt;
use cowslipport_lib::refusal::RefusalReason;
use cowslipport_lib::refusal::UnknownCause;
use cowslipport_lib::retry::Repeatability;
use cowslipport_lib::retry::RequestPhase;
use cowslipport_lib::retry::RetryBudget;
use cowslipport_lib::retry::RetryDecision;
use cowslipport_lib::retry::Undispatched;
use cowslipport_lib::time::TimeMs;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Guards against a retry after dispatch of a request that is not repeatable.
#[test]
fn dispatched_post_is_never_retried() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for method in ["POST", "PATCH", "CONNECT", "BREW"] {
        let phase = RequestPhase::received(Repeatability::of_method(method), TimeMs(1000));
        let step = phase.dispatch().failed(TimeMs(0), UnknownCause::UpstreamFailed, &mut rng);
        let RetryDecision::GiveUp(answer) = step else { panic!("{method} is tried again") };
        assert_eq!(answer.status(), 502);
        assert!(!answer.body().not_run);
        assert_eq!(answer.body().outcome, Some("unknown"));
    }
}

/// Guards against more retries than a tenth of the requests and one a second.
#[test]
fn budget_is_a_tenth_and_one_a_second() {
    let mut budget = RetryBudget::new(TimeMs(0));
    let mut allowed = 0;
    for second in 0..100 {
        for _ in 0..50 {
            budget.deposit();
            allowed += u32::from(budget.withdraw(TimeMs(second * 1000)));
        }
    }
    // 5,000 requests allow 500 retries, 99 seconds allow 99, and the budget
    // starts with one.
    assert_eq!(allowed, 600);
}

/// Guards against an answer whose status, Retry-After and body disagree.
#[test]
fn conflict_answer_describes_the_first_attempt() {
    let phase = Undispatched::new(Repeatability::Once, TimeMs(1));
    let first = FirstAttempt::Completed { status: 201 };
    let answer = Answer::NotRun(phase.refuse(RefusalReason::AttemptKnown(first), None));
    assert_eq!((answer.status(), answer.retry_after_s()), (409, None));
    insta::assert_debug_snapshot!(answer.body(), @r#"
    AnswerBody {
        not_run: true,
        outcome: None,
        reason: "attempt_known",
        first_attempt: Some(
            "completed",
        ),
        first_status: Some(
            201,
        ),
    }
    "#);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against an answer that states "not run" after dispatch, in any
    /// order of failures, and against tries after the deadline or without end.
    #[test]
    fn not_run_is_answered_only_before_dispatch(
        repeatable in any::<bool>(),
        dispatches in prop::collection::vec(any::<bool>(), 1..20),
        seed in any::<u64>(),
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let repeatability =
            if repeatable { Repeatability::Repeatable } else { Repeatability::Once };
        let deadline = TimeMs(1000);
        let mut phase = RequestPhase::received(repeatability, deadline);
        let mut now = TimeMs(0);
        let mut sent = 0;
        for dispatch in dispatches {
            if dispatch {
                phase = phase.dispatch();
                sent += 1;
            }
            match phase.failed(now, UnknownCause::UpstreamTimeout, &mut rng) {
                RetryDecision::Retry { phase: same, wait_ms } => {
                    now = now.plus(wait_ms + 100);
                    prop_assert!(wait_ms <= 500);
                    phase = same;
                }
                RetryDecision::GiveUp(answer) => {
                    prop_assert_eq!(answer.body().not_run, sent == 0);
                    prop_assert_eq!(answer.status(), if sent == 0 { 503 } else { 504 });
                    break;
                }
            }
            prop_assert!(phase.tries() < 4);
            prop_assert!(repeatable || sent == 0);
        }
    }
}
