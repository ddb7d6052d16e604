//! Jobs over sockets: submitted through any process, placed once, ended,
//! cancelled, and kept away from a data centre that is out.

mod support;

use std::time::Duration;

use awc::http::Method;
use cowslipport_daemon::app::Daemon;
use support::KEY;
use support::call;
use support::set_data_centre;
use support::start_fleet;
use support::start_three_daemons;
use support::wait_until;

async fn submit(daemon: &Daemon, name: &str, payload: &str) -> (u16, String) {
    let body = format!(
        r#"{{"name":"{name}","pool":"booking","cpu_milli":1000,"memory_bytes":1000000,"urgent":true,"payload":"{payload}"}}"#
    );
    call(daemon, Method::POST, "/jobs", KEY, &body).await
}

async fn jobs(daemon: &Daemon) -> String {
    let (status, body) = call(daemon, Method::GET, "/jobs", KEY, "").await;
    assert_eq!(status, 200, "{body}");
    body
}

async fn wait_until_ready(daemons: &[Daemon]) {
    wait_until(Duration::from_secs(15), "all processes take jobs", || async {
        for (index, daemon) in daemons.iter().enumerate() {
            if submit(daemon, &format!("first-{index}"), "run_ms=100").await.0 >= 400 {
                return false;
            }
        }
        true
    })
    .await;
    wait_until(Duration::from_secs(40), "the first jobs end", || async {
        jobs(&daemons[0]).await == r#"{"jobs":[]}"#
    })
    .await;
}

/// Guards against an acknowledged job that does not run, runs under another
/// name twice, or is not listed, through whichever process it comes.
#[actix_rt::test]
async fn job_submitted_through_any_process_runs_and_ends() {
    let fleet = start_fleet().await;
    let daemons = start_three_daemons(&fleet).await;
    wait_until_ready(&daemons).await;
    let (status, body) = submit(&daemons[1], "report", "run_ms=1500").await;
    assert_eq!(
        (status, body.as_str()),
        (202, r#"{"organisation":"web","name":"report","known":false}"#)
    );
    let (status, body) = submit(&daemons[2], "report", "run_ms=1500").await;
    assert_eq!(
        (status, body.as_str()),
        (200, r#"{"organisation":"web","name":"report","known":true}"#)
    );
    wait_until(Duration::from_millis(2_900), "an urgent job starts", || async {
        jobs(&daemons[0]).await.contains(r#""state":"running""#)
    })
    .await;
    wait_until(Duration::from_secs(10), "the job ends", || async {
        jobs(&daemons[2]).await == r#"{"jobs":[]}"#
    })
    .await;
}

/// Guards against a task that starts in a data centre after it was taken out.
#[actix_rt::test]
async fn no_task_starts_in_a_data_centre_that_is_out() {
    let fleet = start_fleet().await;
    let daemons = start_three_daemons(&fleet).await;
    wait_until_ready(&daemons).await;
    set_data_centre(&daemons[0], "dc1", false).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    for index in 0..8 {
        let (status, body) = submit(&daemons[1], &format!("job-{index}"), "run_ms=3000").await;
        assert_eq!(status, 202, "{body}");
    }
    wait_until(Duration::from_millis(2_900), "all jobs run", || async {
        jobs(&daemons[0]).await.matches(r#""state":"running""#).count() == 8
    })
    .await;
    assert!(!jobs(&daemons[0]).await.contains("dc1-"), "{}", jobs(&daemons[0]).await);
}

/// Guards against a cancelled job that goes on to run.
#[actix_rt::test]
async fn cancelled_job_stops() {
    let fleet = start_fleet().await;
    let daemons = start_three_daemons(&fleet).await;
    wait_until_ready(&daemons).await;
    submit(&daemons[0], "long", "run_ms=60000").await;
    wait_until(Duration::from_millis(2_900), "the job runs", || async {
        jobs(&daemons[0]).await.contains(r#""state":"running""#)
    })
    .await;
    let (status, body) = call(&daemons[2], Method::DELETE, "/jobs/long", KEY, "").await;
    assert_eq!(status, 200, "{body}");
    wait_until(Duration::from_secs(5), "the job is gone", || async {
        jobs(&daemons[1]).await == r#"{"jobs":[]}"#
    })
    .await;
}
