//! ROUTE: a step asks for a label. Its tasks are planned for a minion that has the label,
//! the store is down for some seconds, and meanwhile the minion starts again as one of
//! another kind.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use serde_json::{Value, json};

use crate::Verdict;
use crate::deployment::{Deployment, id, route};
use crate::minion::{Asked, Kind};
use crate::record::Record;

const QUEUE: &str = "renders";
const LABEL: &str = "kind-a";
const OTHER: &str = "kind-b";
const MINIONS: usize = 8;
const CPU: u64 = 8_000;
const TASK_CPU: u64 = 4_000;
const SUBMISSIONS: u64 = 60;
const OUTAGE: Duration = Duration::from_millis(4_500);
const DOWN: Duration = Duration::from_millis(1_000);

fn kind(number: usize) -> Kind {
    let name = if number < MINIONS / 2 { LABEL } else { OTHER };
    Kind { kind: name, rack: format!("rack-{}", number % 2), cpu: CPU, mem_mb: 32_000 }
}

fn submission() -> Value {
    json!({"spec": "run 700", "phases": [{"count": 1, "cpu": TASK_CPU, "mem_mb": 100,
                                           "estimate_ms": 700, "requirements": LABEL}]})
}

pub fn run(root: &Path, record: &Record, is_troubled: bool) -> Result<Verdict, String> {
    let kinds = (0..MINIONS).map(kind).collect();
    let routes = json!([route(QUEUE, 20_000)]);
    let deployment = Deployment::start(root, record.clone(), kinds, routes)?;
    for number in 0..SUBMISSIONS {
        deployment.asks(&id(number), Asked { label: LABEL, cpu: TASK_CPU });
        if !deployment.submit(QUEUE, &id(number), &submission()) {
            return Err("a submission was not accepted".to_owned());
        }
    }
    let minion = &deployment.minions[0];
    if is_troubled {
        record.line("the store is down, and does not answer");
        deployment.store.set_down(true);
        sleep(Duration::from_millis(1_200));
        minion.crash();
        sleep(DOWN);
        let kind = Kind { kind: OTHER, ..kind(0) };
        minion.boot(kind);
        sleep(OUTAGE - Duration::from_millis(1_200) - DOWN);
        deployment.store.set_down(false);
        record.line("the store answers again");
    }
    sleep(Duration::from_secs(12));
    let asked = deployment.shared.asked.lock().unwrap().clone();
    let starts = deployment.shared.starts.lock().unwrap().clone();
    let wrong: Vec<String> = starts
        .iter()
        .filter(|start| {
            let submission = start.task.split('.').next().unwrap_or_default();
            asked.get(submission).is_some_and(|asked| asked.label != start.kind)
        })
        .map(|start| format!("{} on {} ({})", start.task, start.minion, start.kind))
        .collect();
    deployment
        .record_logs(&["worker has restarted", "ownership", "start of a task not confirmed"], 40);
    let text = format!(
        "ROUTE: {} of {} starts on a minion without the label {LABEL}: {wrong:?}",
        wrong.len(),
        starts.len()
    );
    Ok(Verdict { is_broken: !wrong.is_empty(), text })
}
