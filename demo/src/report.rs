//! The report that the demo prints at its end.

use std::time::Duration;

use cowslipport_daemon::app::Daemon;
use cowslipport_lib::protos::peer as raw;
use cowslipport_standin::recorder::Summary;

use crate::fleet::OPERATOR_TOKEN;
use crate::traffic::Counts;

/// Contents of the report.
pub(crate) struct Report {
    /// Time from the acknowledgement of the commit until it was in force on all
    /// processes; `None` if the wait timed out.
    pub(crate) commit_in_force: Option<Duration>,
    /// The same time for taking the data centre out of service.
    pub(crate) out_in_force: Option<Duration>,
    /// The same time for bringing the data centre back.
    pub(crate) back_in_force: Option<Duration>,
    /// Counts of the callers and the submitter.
    pub(crate) counts: Counts,
    /// Counts of the upstreams and workers.
    pub(crate) summary: Summary,
    /// State of the fleet at the end.
    pub(crate) status: raw::StatusReply,
    /// Recorded decisions about one job.
    pub(crate) job: Vec<raw::ExplainLine>,
}

/// Prints the report.
pub(crate) fn print(report: &Report) {
    let Counts { answered, refused, failed, jobs, jobs_refused, latency_us } = &report.counts;
    let quantile_ms = |quantile: f64| latency_us.value_at_quantile(quantile) as f64 / 1000.0;
    println!();
    println!("in force on all processes after the acknowledgement:");
    println!("  commit            {}", format_delay(report.commit_in_force));
    println!("  data centre out   {}", format_delay(report.out_in_force));
    println!("  data centre back  {}", format_delay(report.back_in_force));
    println!("requests: {answered} answered, {refused} refused and not run, {failed} failed");
    println!("  time p50 {:.1} ms, p99 {:.1} ms", quantile_ms(0.5), quantile_ms(0.99));
    println!("jobs: {jobs} accepted, {jobs_refused} not accepted");
    println!(
        "upstreams: {} requests interrupted; workers: {} tasks interrupted",
        report.summary.interrupted_requests, report.summary.interrupted_tasks
    );
    println!("pools:");
    for pool in &report.status.pools {
        println!(
            "  {:<8} {} VMs, {} unavailable, owner {}",
            pool.name, pool.vms, pool.unavailable, pool.owner
        );
    }
    println!("decisions about job alpha/report-5:");
    for line in &report.job {
        let age_ms = line.age_ms;
        println!("  {age_ms:>6} ms ago  {}: {} ({})", line.process, line.decision, line.reason);
    }
}

fn format_delay(duration: Option<Duration>) -> String {
    match duration {
        Some(duration) => format!("{} ms", duration.as_millis()),
        None => "not within 10 s".to_owned(),
    }
}

/// Prints how to reach the fleet while it stays up.
pub(crate) fn print_stay(processes: &[Daemon], key: &str) {
    println!();
    println!("the fleet stays up until Ctrl-C. Try, in another terminal:");
    if let Some(process) = processes.first() {
        let addresses = process.addresses();
        println!("  export COWSLIPPORT_SERVER={}", addresses.peers);
        println!("  export COWSLIPPORT_TOKEN={OPERATOR_TOKEN}");
        println!("  cargo run -p cowslipport-cli -- status");
        println!(
            "  curl -H 'Authorization: Bearer {key}' http://{}/pools/web/slots",
            addresses.callers
        );
    }
}
