//! MIXED: a minion answers starts with 503 for some seconds, and the others are full. The
//! submissions that wait meanwhile have not begun, and have to be in `pending`.

use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::Verdict;
use crate::deployment::{Deployment, id, route};
use crate::minion::{Asked, Kind};
use crate::record::Record;

const QUEUE: &str = "holds";
const MINIONS: usize = 10;
const CPU: u64 = 8_000;
const WAITING: u64 = 8;
/// `srv_grey` with `x = 1` lasts for 6.5 s on the site.
const TROUBLE: Duration = Duration::from_millis(6_500);
/// `visible_ms` and 2 s.
const OLD: Duration = Duration::from_millis(5_000);

fn submission(cpu: u64, run_ms: u64) -> Value {
    json!({"spec": format!("run {run_ms}"),
           "phases": [{"count": 1, "cpu": cpu, "mem_mb": 100, "estimate_ms": run_ms}]})
}

pub fn run(root: &Path, record: &Record, is_troubled: bool) -> Result<Verdict, String> {
    let kind = |number| Kind {
        kind: "kind-a",
        rack: format!("rack-{}", number % 2),
        cpu: CPU,
        mem_mb: 32_000,
    };
    let routes = json!([route(QUEUE, 30_000)]);
    let deployment =
        Deployment::start(root, record.clone(), (0..MINIONS).map(kind).collect(), routes)?;
    // All minions but one are full for the whole run.
    for number in 0..MINIONS as u64 - 1 {
        deployment.asks(&id(number), Asked { label: "", cpu: CPU });
        if !deployment.submit(QUEUE, &id(number), &submission(CPU, 40_000)) {
            return Err("a submission was not accepted".to_owned());
        }
    }
    sleep(Duration::from_secs(2));
    let empty = deployment.minions.iter().find(|minion| minion.running().is_empty());
    let empty = empty.ok_or("no minion is empty")?;
    let began_at = Instant::now();
    if is_troubled {
        empty.set_sheds(true);
    }
    let waiting: Vec<String> = (100..100 + WAITING).map(id).collect();
    let mut accepted_at = began_at;
    for id in &waiting {
        deployment.asks(id, Asked { label: "", cpu: 1_000 });
        if !deployment.submit(QUEUE, id, &submission(1_000, 500)) {
            return Err("a submission was not accepted".to_owned());
        }
        accepted_at = Instant::now();
    }
    sleep(
        (accepted_at + OLD + Duration::from_millis(200)).saturating_duration_since(Instant::now()),
    );
    let mut broken = Vec::new();
    for node in 0..deployment.nodes.len() {
        let not_begun = || waiting.iter().filter(|id| !deployment.has_started(id)).count() as u64;
        let before = not_begun();
        let answer = deployment.call(node, "GET", &format!("/{QUEUE}/"), "");
        let not_begun = not_begun().min(before);
        let Some((200, body)) = answer else { return Err("no count".to_owned()) };
        let pending = body["pending"].as_u64().ok_or("no count")?;
        record.line(&format!(
            "{not_begun} submissions of over 5 s have not begun, pending {pending}"
        ));
        if pending * 2 < not_begun {
            broken.push(format!("{pending} of {not_begun} at {}", deployment.nodes[node].name));
        }
    }
    for id in &waiting {
        deployment.call(0, "GET", &format!("/{QUEUE}/{id}"), "");
    }
    if is_troubled {
        sleep((began_at + TROUBLE).saturating_duration_since(Instant::now()));
        empty.set_sheds(false);
    }
    sleep(Duration::from_secs(4));
    let begun = waiting.iter().filter(|id| deployment.has_started(id)).count();
    record.line(&format!("{begun} of {WAITING} have begun at the end"));
    deployment.record_logs(&["start of a task not confirmed"], 40);
    let text =
        format!("MIXED: pending is under half of the submissions that have not begun: {broken:?}");
    Ok(Verdict { is_broken: !broken.is_empty(), text })
}
