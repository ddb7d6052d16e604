//! A small deployment: the platform, minions, three nodes and consumers.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::machines::MachineService;
use crate::machines::Machines;
use crate::minion::Run;
use crate::minion::Runs;
use crate::nodes;
use crate::nodes::Node;
use crate::record::Record;
use crate::store::Store;

const NODES: usize = 3;
const START_LIMIT: Duration = Duration::from_secs(5);
const START_TRIES: usize = 3;
const HOST: &str = "desk.example";
/// Headers with the keys of the two tenants.
const KEY: &str = "Bearer key-1";
const OTHER_KEY: &str = "Bearer key-2";
/// Service whose minions run the tasks.
pub const POOL: &str = "desk";
/// Service whose machines are off.
pub const STANDBY: &str = "spare";
/// How often a consumer tries again, and its time budget.
const TRIES: usize = 5;
const CALL_LIMIT: Duration = Duration::from_millis(3_000);

/// The configuration. The second tenant may have `limit_cpu` thousandths of a
/// core running; 0 means no limit.
pub fn config(version: u64, limit_cpu: u64) -> String {
    format!(
        r#"{{"version":{version},
        "routes":[{{"name":"r-1","host":"{HOST}","path_prefix":"/desk/",
        "kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":600,"priority":0,
        "service":"{POOL}","max_attempts":4,"slack_factor":2.2,"public":false}}],
        "services":[{{"name":"{POOL}","enforces_capacity":false,"health_path":"/healthz"}},
        {{"name":"{STANDBY}","enforces_capacity":false,"health_path":"/healthz",
        "standby":true}}],
        "limits":{{"max_body_bytes":262144}},
        "tenants":[{{"name":"t-1","api_keys":["key-1"],"weight":10}},
        {{"name":"t-2","api_keys":["key-2"],"weight":10,
        "max_count":{{"cpu":{limit_cpu},"mem_mb":0,"gpu":0}}}}]}}"#
    )
}

/// The deployment. Its processes end when it is dropped.
pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub machines: Arc<Machines>,
    pub runs: Runs,
    pub nodes: Vec<Node>,
    folder: PathBuf,
}

impl World {
    /// Starts all and waits until the nodes are ready.
    pub fn start(record: &Path, machine_count: usize) -> Result<Self, String> {
        let record = Arc::new(Record::create(record).map_err(|error| error.to_string())?);
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let runs: Runs = Arc::new(Mutex::default());
        let store = Arc::new(Store::default());
        store.put("keyed.op", "config", &config(3, 0));
        let machines = Machines::start(machine_count, POOL, STANDBY, &runs, &record, &store);
        let (listener, store_address) = listen()?;
        http::serve(listener, Arc::clone(&store));
        let (listener, machines_address) = listen()?;
        http::serve(listener, Arc::new(MachineService(Arc::clone(&machines))));
        let mut world = Self { record, store, machines, runs, nodes: Vec::new(), folder };
        // Another process may take a port before its node does.
        for _ in 0..START_TRIES {
            world.start_nodes(store_address, machines_address);
            if world.are_nodes_ready() {
                world.record.write("the nodes are ready");
                return Ok(world);
            }
            world.nodes.clear();
        }
        Err("the nodes did not become ready".to_owned())
    }

    fn start_nodes(&mut self, store: SocketAddr, machines: SocketAddr) {
        for (index, addresses) in (0..).zip(nodes::free_addresses(NODES)) {
            let name = format!("edge-{}", index + 1);
            let zone = ["zone-a", "zone-b"][index % 2];
            self.nodes.push(Node::start(&name, zone, addresses, store, machines, &self.folder));
        }
    }

    fn are_nodes_ready(&self) -> bool {
        let are_ready = || self.nodes.iter().all(Node::is_ready);
        wait_for(START_LIMIT, || are_ready() && self.store.holder().is_some())
    }

    /// The node that holds the ownership.
    pub fn owner(&self) -> Option<&Node> {
        let holder = self.store.holder()?;
        self.nodes.iter().find(|node| node.name == holder)
    }

    /// Index of the node that holds the ownership.
    pub fn owner_index(&self) -> Option<usize> {
        let holder = self.store.holder()?;
        self.nodes.iter().position(|node| node.name == holder)
    }

    /// Sends a call of a consumer to the nodes in turn until one succeeds.
    pub fn call(&self, method: &str, id: &str, body: &str, first: usize) -> Option<String> {
        self.call_with(KEY, method, id, body, first)
    }

    fn call_with(
        &self,
        key: &str,
        method: &str,
        id: &str,
        body: &str,
        first: usize,
    ) -> Option<String> {
        let addresses: Vec<SocketAddr> = self.nodes.iter().map(|node| node.frontend).collect();
        for attempt in 0..TRIES {
            let address = addresses[(first + attempt) % addresses.len()];
            let headers = [("Host", HOST), ("Authorization", key)];
            let path = format!("/desk/{id}");
            let answer = http::call(address, method, &path, &headers, body, CALL_LIMIT);
            let status = answer.as_ref().map(|(status, _)| *status);
            self.record.write(&format!("{method} {id}: {status:?}"));
            match answer {
                Some((200, text)) => return Some(text),
                _ => sleep(Duration::from_millis(200)),
            }
        }
        None
    }

    /// Submits tasks that each take some time on some thousandths of a core.
    pub fn submit(&self, id: &str, count: u32, cpu: u64, work_ms: u64, first: usize) -> bool {
        let body = format!(
            r#"{{"spec":"work={work_ms} cpu={cpu}","phases":[{{"count":{count},"cpu":{cpu},
            "mem_mb":64,"estimate_ms":{work_ms}}}]}}"#
        );
        self.call("POST", id, &body, first).is_some()
    }

    /// Submits one task that lasts on behalf of the second tenant.
    pub fn submit_lasting(&self, id: &str, cpu: u64, first: usize) -> bool {
        let body = format!(
            r#"{{"spec":"cpu={cpu}","phases":[{{"count":1,"cpu":{cpu},"mem_mb":64,
            "estimate_ms":500,"long_running":true}}]}}"#
        );
        self.call_with(OTHER_KEY, "POST", id, &body, first).is_some()
    }

    /// Runs of the tasks of a submission.
    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|run| run.task.starts_with(id)).cloned().collect()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.nodes.clear();
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn listen() -> Result<(TcpListener, SocketAddr), String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    Ok((listener, address))
}

/// Waits until a condition holds. Returns false if that takes too long.
pub fn wait_for<F>(limit: Duration, holds: F) -> bool
where
    F: Fn() -> bool,
{
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if holds() {
            return true;
        }
        sleep(Duration::from_millis(20));
    }
    false
}
