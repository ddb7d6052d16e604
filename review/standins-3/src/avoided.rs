//! LOST: tasks that last fail a few times by their own fault, on a service that runs only
//! such tasks. All minions are sound and empty, but the tasks are not started again.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::Verdict;
use crate::deployment::{Deployment, id, route};
use crate::minion::{Asked, Kind};
use crate::record::Record;

const QUEUE: &str = "watchers";
const MINIONS: usize = 3;
const CPU: u64 = 8_000;
const TASK_CPU: u64 = 1_000;
const LENGTH: Duration = Duration::from_secs(75);
/// The rule: from 6 s after the last run of a task, for 3 s.
const FROM: Duration = Duration::from_secs(6);
const IDLE: Duration = Duration::from_secs(3);

fn submission(is_troubled: bool) -> Value {
    let spec = if is_troubled { "lasting 8000 4" } else { "lasting" };
    json!({"spec": spec, "phases": [{"count": 3, "cpu": TASK_CPU, "mem_mb": 100, "estimate_ms": 1000,
                                     "long_running": true, "anti_affinity": 1}]})
}

pub fn run(root: &Path, record: &Record, is_troubled: bool) -> Result<Verdict, String> {
    let kind = |number| Kind {
        kind: "kind-a",
        rack: format!("rack-{}", number % 2),
        cpu: CPU,
        mem_mb: 32_000,
    };
    let routes = json!([route(QUEUE, 2_500)]);
    let deployment =
        Deployment::start(root, record.clone(), (0..MINIONS).map(kind).collect(), routes)?;
    let submissions: Vec<String> = (0..2).map(id).collect();
    for id in &submissions {
        deployment.asks(id, Asked { label: "", cpu: TASK_CPU });
        if !deployment.submit(QUEUE, id, &submission(is_troubled)) {
            return Err("a submission was not accepted".to_owned());
        }
    }
    sleep(Duration::from_secs(2));
    let began_at = Instant::now();
    let mut last_run_at = vec![began_at; submissions.len() * 3];
    let mut longest = Duration::ZERO;
    while began_at.elapsed() < LENGTH {
        let running: Vec<String> =
            deployment.minions.iter().flat_map(|minion| minion.running()).collect();
        for (number, at) in last_run_at.iter_mut().enumerate() {
            let task = format!("{}.0.0.{}", submissions[number / 3], number % 3);
            if running.contains(&task) {
                *at = Instant::now();
            }
            longest = longest.max(at.elapsed());
        }
        sleep(Duration::from_millis(20));
    }
    deployment.record_logs(&["worker avoided"], 60);
    let text = format!(
        "LOST: a task that lasts did not run for {} ms, with all minions up, sound and at most a quarter full",
        longest.as_millis()
    );
    Ok(Verdict { is_broken: longest > FROM + IDLE, text })
}
