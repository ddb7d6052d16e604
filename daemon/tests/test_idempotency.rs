//! End-to-end test of idempotency keys with three processes.

mod support;

use std::time::Duration;

use cowslipport_daemon::app::Daemon;
use support::KEY;
use support::start_daemon;
use support::start_fleet;
use support::start_three_daemons;
use support::wait_until;

async fn book(daemon: &Daemon, idempotency_key: &str) -> (u16, String) {
    let url = format!("http://{}/pools/booking/slots", daemon.addresses().callers);
    let request = awc::Client::default().post(url).bearer_auth(KEY);
    let request = request.insert_header(("idempotency-key", idempotency_key));
    let mut answer = request.send_body("x").await.expect("the process answers");
    let body = answer.body().await.expect("the answer is complete");
    (answer.status().as_u16(), String::from_utf8_lossy(&body).into_owned())
}

/// Guards against running a request twice, when requests with one idempotency
/// key arrive at several processes: at the same time, one after the other, and
/// after the process of the first attempt, a witness, has stopped.
#[actix_rt::test]
async fn request_with_a_key_runs_once_through_any_process() {
    let fleet = start_fleet().await;
    let mut daemons = start_three_daemons(&fleet).await;
    for (index, daemon) in daemons.iter().enumerate() {
        wait_until(Duration::from_secs(20), "requests are routed", || async {
            let key = format!("first-{index}-{}", fleet.clock.now().0);
            book(daemon, &key).await.0 == 200
        })
        .await;
    }
    let tries = (0..12).map(|index| book(&daemons[index % 3], "booking-1"));
    let answers = futures_util::future::join_all(tries).await;
    assert!(answers.iter().filter(|(status, _)| *status == 200).count() <= 1, "{answers:?}");
    assert!(answers.iter().all(|(status, _)| matches!(status, 200 | 409)), "{answers:?}");
    let (status, _) = book(&daemons[0], "booking-2").await;
    assert_eq!(status, 200);
    wait_until(Duration::from_secs(2), "the outcome is known", || async {
        let (status, body) = book(&daemons[1], "booking-2").await;
        assert_eq!(status, 409, "{body}");
        body == r#"{"not_run":true,"reason":"attempt_known","first_attempt":"completed","first_status":200}"#
    })
    .await;
    daemons.remove(0).stop().await;
    let new = start_daemon("entry-4", &fleet).await;
    let mut bookings = 0;
    wait_until(Duration::from_secs(20), "the new process accepts requests with keys", || {
        bookings += 1;
        let key = format!("new-{bookings}");
        let new = &new;
        async move { book(new, &key).await.0 == 200 }
    })
    .await;
    for daemon in daemons.iter().chain([&new]) {
        let (status, body) = book(daemon, "booking-2").await;
        assert_eq!(status, 409, "{body}");
    }
    let summary = fleet.summary().await;
    assert!(summary.repeated_keys.is_empty(), "{:?}", summary.repeated_keys);
}
