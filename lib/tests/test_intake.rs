//! Tests of which connections and bodies a process holds, and which give way.

use cowslipport_lib::intake::Cause;
use cowslipport_lib::intake::ConnectionKey;
use cowslipport_lib::intake::Intake;
use cowslipport_lib::intake::IntakeAction;
use cowslipport_lib::intake::IntakeLimits;
use cowslipport_lib::intake::STEP_BYTES;
use cowslipport_lib::time::TimeMs;

/// Three connections, and room for two steps of bytes.
const LIMITS: IntakeLimits = IntakeLimits {
    connections: 3,
    budget_bytes: 2 * STEP_BYTES,
    quiet_ms: 20_000,
    body_ms: 30_000,
};

fn open(intake: &mut Intake, now_ms: u64) -> ConnectionKey {
    let (key, closed) = intake.open(TimeMs(now_ms));
    assert_eq!(closed, None);
    key
}

fn ask(intake: &mut Intake, key: ConnectionKey, received: u64, now_ms: u64) -> Vec<IntakeAction> {
    intake.ask(key, received, STEP_BYTES, TimeMs(now_ms));
    intake.grant(TimeMs(now_ms))
}

/// Guards against bodies that together hold more than the budget, and against one that
/// stops short of its end and keeps its bytes from those that still come.
#[test]
fn a_body_that_stops_short_gives_way_to_one_that_goes_on() {
    let mut intake = Intake::new(LIMITS);
    let [stopped, steady, late] = [0, 0, 0].map(|now_ms| open(&mut intake, now_ms));
    for key in [stopped, steady, late] {
        intake.begin_request(key, true, TimeMs(0));
    }
    let grant = |key| vec![IntakeAction::Grant { key, bytes: STEP_BYTES }];
    assert_eq!(ask(&mut intake, stopped, 8_192, 10), grant(stopped));
    assert_eq!(ask(&mut intake, steady, 8_192, 10), grant(steady));
    // Nobody is slow yet, so the third one waits.
    assert_eq!(ask(&mut intake, late, 8_192, 20), []);
    intake.ask(steady, 2 * STEP_BYTES, 0, TimeMs(400));
    let actions = intake.grant(TimeMs(500));
    let refused = IntakeAction::Refuse { key: stopped, cause: Cause::Bytes };
    assert_eq!(actions[0], refused);
    assert_eq!(actions[1], IntakeAction::Grant { key: late, bytes: STEP_BYTES });
    assert!(intake.usage().held_bytes <= LIMITS.budget_bytes);
}

/// Guards against a crowd of open connections behind which a new caller waits, and
/// against a whole request that is cut off while it waits for its answer.
#[test]
fn the_slowest_connection_gives_its_place_and_whole_requests_stay() {
    let mut intake = Intake::new(LIMITS);
    let whole = open(&mut intake, 0);
    intake.begin_request(whole, false, TimeMs(1));
    let silent = open(&mut intake, 10);
    let trickling = open(&mut intake, 0);
    intake.begin_request(trickling, true, TimeMs(1));
    // It has sent for 100 ms at the pace, and so is behind by less than the silent one.
    intake.ask(trickling, 6_400, STEP_BYTES, TimeMs(150));
    assert!(!intake.can_open(TimeMs(90)), "nobody has been slow for long enough");
    assert!(intake.can_open(TimeMs(200)));
    let (_, closed) = intake.open(TimeMs(200));
    let close = |key| Some(IntakeAction::Close { key, cause: Cause::Connections });
    assert_eq!(closed, close(silent));
    let (_, closed) = intake.open(TimeMs(400));
    assert_eq!(closed, close(trickling));
    assert_eq!(intake.usage().connections, [2, 0, 1]);
}

/// Guards against bytes that are not given back: when a request ends, when its
/// connection breaks, and when it still waits for bytes.
#[test]
fn bytes_come_back_however_a_request_ends() {
    let mut intake = Intake::new(LIMITS);
    for now_ms in 0..1_000 {
        let key = open(&mut intake, now_ms);
        intake.begin_request(key, true, TimeMs(now_ms));
        for _ in 0..2 {
            assert_eq!(ask(&mut intake, key, STEP_BYTES, now_ms).len(), 1);
        }
        match now_ms % 4 {
            0 => intake.complete_body(key, TimeMs(now_ms)),
            1 => intake.end_request(key, TimeMs(now_ms)),
            2 => assert_eq!(ask(&mut intake, key, STEP_BYTES, now_ms), []),
            _ => {}
        }
        intake.close(key);
        // A message that was under way when the connection broke.
        intake.end_request(key, TimeMs(now_ms));
        intake.close(key);
        assert_eq!(intake.usage().held_bytes, 0);
        assert!(!intake.is_short());
    }
}

/// Guards against a body that is kept open by a byte now and then, and against a
/// connection that never sends a whole head.
#[test]
fn heads_and_bodies_have_a_time_in_all() {
    let mut intake = Intake::new(LIMITS);
    let [quiet, body, whole] = [0, 0, 0].map(|now_ms| open(&mut intake, now_ms));
    intake.begin_request(body, true, TimeMs(1_000));
    intake.begin_request(whole, false, TimeMs(1_000));
    assert_eq!(intake.expire(TimeMs(20_000)), []);
    let quiet = IntakeAction::Close { key: quiet, cause: Cause::QuietTimeout };
    assert_eq!(intake.expire(TimeMs(20_001)), [quiet]);
    for now_ms in (21_000..31_000).step_by(1_000) {
        intake.ask(body, 1, STEP_BYTES, TimeMs(now_ms));
    }
    let refused = IntakeAction::Refuse { key: body, cause: Cause::BodyTimeout };
    assert_eq!(intake.expire(TimeMs(31_001)), [refused]);
    assert_eq!(intake.expire(TimeMs(40_000)), []);
    assert_eq!(intake.usage().connections, [1, 0, 1]);
}

/// Guards against connections with one request after the other, which are never without
/// one and so keep all places for good.
#[test]
fn connections_leave_after_their_turn_while_all_places_are_taken() {
    let mut intake = Intake::new(LIMITS);
    let [first, second] = [0, 100].map(|now_ms| {
        let key = open(&mut intake, now_ms);
        intake.begin_request(key, false, TimeMs(now_ms));
        key
    });
    assert_eq!(intake.end_turns(TimeMs(9_000)), [], "there is room");
    let third = open(&mut intake, 9_000);
    intake.begin_request(third, false, TimeMs(9_000));
    assert!(!intake.can_open(TimeMs(9_100)));
    let leave = [first, second].map(|key| IntakeAction::Leave { key });
    assert_eq!(intake.end_turns(TimeMs(9_100)), leave);
    assert_eq!(intake.end_turns(TimeMs(9_200)), [], "both leave already");
    intake.close(first);
    assert!(intake.can_open(TimeMs(9_200)));
    assert_eq!(intake.end_turns(TimeMs(11_100)), [], "there is room");
}
