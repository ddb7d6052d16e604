//! Jobs submitted, listed and cancelled over sockets, through any of three
//! processes.

mod support;

use std::time::Duration;

use awc::http::Method;
use cowslipport_daemon::app::Daemon;
use support::KEY;
use support::call;
use support::set_data_centre;
use support::stalls::StallMonitor;
use support::start_fleet;
use support::start_three_daemons;
use support::wait_until;

async fn submit(
    stalls: &StallMonitor,
    daemon: &Daemon,
    name: &str,
    payload: &str,
) -> (u16, String) {
    let body = format!(
        r#"{{"name":"{name}","pool":"booking","cpu_milli":1000,"memory_bytes":1000000,"urgent":true,"payload":"{payload}"}}"#
    );
    stalls.repeat_if_stalled(|| call(daemon, Method::POST, "/jobs", KEY, &body)).await
}

async fn list_jobs(stalls: &StallMonitor, daemon: &Daemon) -> String {
    let request = || call(daemon, Method::GET, "/jobs", KEY, "");
    let (status, body) = stalls.repeat_if_stalled(request).await;
    assert_eq!(status, 200, "{body}");
    body
}

async fn wait_until_ready(stalls: &StallMonitor, daemons: &[Daemon]) {
    wait_until(Duration::from_secs(15), "all processes accept jobs", || async {
        for (index, daemon) in daemons.iter().enumerate() {
            if submit(stalls, daemon, &format!("first-{index}"), "run_ms=100").await.0 >= 400 {
                return false;
            }
        }
        true
    })
    .await;
    wait_until(Duration::from_secs(40), "the first jobs end", || async {
        list_jobs(stalls, &daemons[0]).await == r#"{"jobs":[]}"#
    })
    .await;
}

/// Guards against an accepted job that does not run, is missing in the list, or
/// is accepted a second time when it is submitted again through another process.
#[actix_rt::test]
async fn job_submitted_through_any_process_runs_and_ends() {
    let stalls = StallMonitor::start();
    let fleet = start_fleet().await;
    let daemons = start_three_daemons(&fleet).await;
    wait_until_ready(&stalls, &daemons).await;
    let (status, body) = submit(&stalls, &daemons[1], "report", "run_ms=1500").await;
    assert_eq!(
        (status, body.as_str()),
        (202, r#"{"organisation":"web","name":"report","known":false}"#)
    );
    let (status, body) = submit(&stalls, &daemons[2], "report", "run_ms=1500").await;
    assert_eq!(
        (status, body.as_str()),
        (200, r#"{"organisation":"web","name":"report","known":true}"#)
    );
    wait_until(Duration::from_millis(2_900), "the urgent job starts", || async {
        list_jobs(&stalls, &daemons[0]).await.contains(r#""state":"running""#)
    })
    .await;
    wait_until(Duration::from_secs(10), "the job ends", || async {
        list_jobs(&stalls, &daemons[2]).await == r#"{"jobs":[]}"#
    })
    .await;
}

/// Guards against a task that starts in a data centre after the data centre was
/// taken out of service.
#[actix_rt::test]
async fn no_task_starts_in_a_data_centre_out_of_service() {
    let stalls = StallMonitor::start();
    let fleet = start_fleet().await;
    let daemons = start_three_daemons(&fleet).await;
    wait_until_ready(&stalls, &daemons).await;
    set_data_centre(&daemons[0], "dc1", false).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    for index in 0..8 {
        let (status, body) =
            submit(&stalls, &daemons[1], &format!("job-{index}"), "run_ms=3000").await;
        assert_eq!(status, 202, "{body}");
    }
    wait_until(Duration::from_millis(2_900), "all jobs run", || async {
        list_jobs(&stalls, &daemons[0]).await.matches(r#""state":"running""#).count() == 8
    })
    .await;
    assert!(
        !list_jobs(&stalls, &daemons[0]).await.contains("dc1-"),
        "{}",
        list_jobs(&stalls, &daemons[0]).await
    );
}

/// Guards against a cancelled job that continues to run, or whose cancellation
/// fails because it arrives at a process that does not own the job's partition.
#[actix_rt::test]
async fn cancelled_job_stops() {
    let stalls = StallMonitor::start();
    let fleet = start_fleet().await;
    let daemons = start_three_daemons(&fleet).await;
    wait_until_ready(&stalls, &daemons).await;
    submit(&stalls, &daemons[0], "long", "run_ms=60000").await;
    wait_until(Duration::from_millis(2_900), "the job runs", || async {
        list_jobs(&stalls, &daemons[0]).await.contains(r#""state":"running""#)
    })
    .await;
    let request = || call(&daemons[2], Method::DELETE, "/jobs/long", KEY, "");
    let (status, body) = stalls.repeat_if_stalled(request).await;
    assert_eq!(status, 200, "{body}");
    wait_until(Duration::from_secs(5), "the job is no longer listed", || async {
        list_jobs(&stalls, &daemons[1]).await == r#"{"jobs":[]}"#
    })
    .await;
}
