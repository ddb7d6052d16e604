//! A small deployment: the stand-ins of the platform, and nodes as processes, started with
//! the command, the template and the variables of the deploy file.

use std::collections::BTreeMap;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http;
use crate::minion::{Asked, HOLD_MAX_MS, Kind, Minion, Shared};
use crate::record::Record;
use crate::store::{PARTS, Store};

pub const KEY: &str = "key-of-tenant";
pub const HOST: &str = "queues.example";
pub const SERVICE: &str = "desk";
pub const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-c", "zone-d"];
const FEW_NODES: usize = 3;
const TIME_BUDGET: Duration = Duration::from_millis(3_000);

pub struct Node {
    pub name: String,
    pub frontend: SocketAddr,
    /// Number of the zone.
    pub zone: usize,
    /// Whether the node is cut off from the store.
    pub is_cut: Arc<AtomicBool>,
    child: Child,
}

pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub minions: Vec<Arc<Minion>>,
    pub nodes: Vec<Node>,
    pub shared: Shared,
    directory: PathBuf,
}

impl Deployment {
    /// Starts the stand-ins and three nodes, and waits until the nodes are ready.
    pub fn start(
        root: &Path,
        record: Record,
        kinds: Vec<Kind>,
        routes: Value,
    ) -> Result<Self, String> {
        Self::start_with(root, record, kinds, routes, FEW_NODES, 1_000)
    }

    /// The same with a number of nodes, and the speed of the minions' clocks in
    /// thousandths.
    pub fn start_with(
        root: &Path,
        record: Record,
        kinds: Vec<Kind>,
        routes: Value,
        nodes: usize,
        speed_milli: u64,
    ) -> Result<Self, String> {
        let store = Store::start();
        let shared = Shared {
            store: store.clone(),
            record: record.clone(),
            asked: Arc::default(),
            starts: Arc::default(),
            speed_milli,
        };
        let minions: Vec<Arc<Minion>> = (0..)
            .zip(kinds)
            .map(|(number, kind)| {
                let zone = ZONES[number % ZONES.len()];
                Minion::start(&format!("minion-{number}"), zone, SERVICE, kind, &shared)
            })
            .collect();
        store.put("keyed.op", "config", &configuration(routes));
        let listed = minions.clone();
        let (machines, _) = http::serve(move |request| match request.method.as_str() {
            "GET" => http::json(200, list_machines(&listed)),
            _ => http::json(409, json!({"reason": "busy"})),
        });
        let directory = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&directory).map_err(|error| error.to_string())?;
        let mut deployment = Self { record, store, minions, nodes: Vec::new(), shared, directory };
        let deploy = DeployFile::read(root)?;
        for number in 0..nodes {
            let node = deployment.start_node(root, &deploy, number, machines)?;
            deployment.nodes.push(node);
            // Machines start within 0.3 s of each other.
            thread::sleep(Duration::from_millis(250 / nodes as u64));
        }
        let deadline = Instant::now() + Duration::from_secs(15);
        for node in &deployment.nodes {
            let is_ready = || {
                let path = "/ready-check/";
                let answer =
                    http::call(node.frontend, "GET", path, &[("Host", HOST)], "", TIME_BUDGET);
                answer.is_some_and(|(status, _)| status == 404)
            };
            while !is_ready() {
                if Instant::now() > deadline {
                    return Err(format!("{} is not ready in time", node.name));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        // An owner has polled all minions by then.
        thread::sleep(Duration::from_millis(2_000));
        deployment.record.line("the nodes are ready");
        Ok(deployment)
    }

    fn start_node(
        &self,
        root: &Path,
        deploy: &DeployFile,
        number: usize,
        machines: SocketAddr,
    ) -> Result<Node, String> {
        let ip = own_address();
        let port = || -> Result<SocketAddr, String> {
            let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
            listener.local_addr().map_err(|error| error.to_string())
        };
        let (frontend, ready, internal) = (port()?, port()?, port()?);
        let (store, is_cut) = self.store.listen();
        let zone = number % ZONES.len();
        let name = format!("edge-{}-{}", ZONES[zone], number / ZONES.len() + 1);
        let fields = json!({
            "node_name": name, "zone": ZONES[zone], "ip": ip.to_string(),
            "listen_addrs": {"frontend": frontend.to_string(), "ready": ready.to_string()},
            "internal_ports": [internal.port(), internal.port()],
            "limits": {"cpu_quota": 0.25, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "platform": {"address": store.to_string(), "parts": PARTS, "ttl_min_ms": 1000},
            "cloud_api": {"address": machines.to_string(), "rate_per_s": 64.0, "duty_per_s": 64.0},
            "bounds": {"revoke_ms": 5000, "visible_ms": 3000, "status_s": 120, "lease_ms": 3000,
                       "grace_s": 6, "hold_max_ms": HOLD_MAX_MS},
        });
        let template = fs::read_to_string(root.join(&deploy.template));
        let template = template.map_err(|error| error.to_string())?;
        let settings = self.directory.join(format!("{name}.settings"));
        fs::write(&settings, fill_in(&template, &fields)).map_err(|error| error.to_string())?;
        let log = fs::File::create(self.directory.join(format!("{name}.log")));
        let log = log.map_err(|error| error.to_string())?;
        let mut words = deploy.run.split(' ');
        let program = root.join(words.next().unwrap_or_default());
        let mut command = Command::new(program);
        command.args(words).current_dir(root).env("COWSLIPPORT_BOOT", &settings);
        for (variable, text) in &deploy.env {
            command.env(variable, fill_in(text, &fields));
        }
        let child = command.stdin(Stdio::null()).stdout(log).stderr(Stdio::null()).spawn();
        let child = child.map_err(|error| format!("the node does not start: {error}"))?;
        self.record.line(&format!("{name} starts"));
        Ok(Node { name, frontend, zone, is_cut, child })
    }

    /// Sends SIGTERM to a node.
    pub fn terminate(&self, node: usize) -> Result<(), String> {
        let node = &self.nodes[node];
        self.record.line(&format!("SIGTERM to {}", node.name));
        let status = Command::new("kill").arg("-TERM").arg(node.child.id().to_string()).status();
        status.map(|_| ()).map_err(|error| error.to_string())
    }

    /// Notes what a submission asks for, so that the minions can be checked.
    pub fn asks(&self, id: &str, asked: Asked) {
        self.shared.asked.lock().unwrap().insert(id.to_owned(), asked);
    }

    /// Makes a call as a consumer, and records its answer.
    pub fn call(&self, node: usize, method: &str, path: &str, body: &str) -> Option<(u16, Value)> {
        let key = format!("Bearer {KEY}");
        let headers = [
            ("Host", HOST),
            ("Authorization", key.as_str()),
            ("Content-Type", "application/json"),
            ("X-Cowslipport-Deadline-Ms", "3000"),
        ];
        let node = &self.nodes[node];
        let answer = http::call(node.frontend, method, path, &headers, body, TIME_BUDGET);
        let shown = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no answer".to_owned(),
        };
        self.record.line(&format!("{method} {path} at {}: {shown}", node.name));
        answer
    }

    /// Hands a submission in, with retries at the other nodes.
    pub fn submit(&self, queue: &str, id: &str, body: &Value) -> bool {
        for attempt in 0..5 {
            let path = format!("/{queue}/{id}");
            let answer = self.call(attempt % self.nodes.len(), "POST", &path, &body.to_string());
            if answer.is_some_and(|(status, _)| status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(300));
        }
        false
    }

    pub fn has_started(&self, id: &str) -> bool {
        let starts = self.shared.starts.lock().unwrap();
        starts.iter().any(|start| start.task.starts_with(id))
    }

    /// The newest lines of the nodes' logs that hold a text, for the record.
    pub fn record_logs(&self, texts: &[&str], most: usize) {
        for node in &self.nodes {
            let log = fs::read_to_string(self.directory.join(format!("{}.log", node.name)));
            let log = log.unwrap_or_default();
            let lines = log.lines().filter(|line| texts.iter().any(|text| line.contains(text)));
            for line in lines.take(most) {
                self.record.line(&format!("log of {}: {line}", node.name));
            }
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            let _ = node.child.kill();
            let _ = node.child.wait();
        }
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// A loopback address that only this run uses. A node binds its ports some time after they
/// were found to be free; at 127.0.0.1 any other program could take them meanwhile.
fn own_address() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | high, middle, low.max(1))
}

fn configuration(routes: Value) -> Value {
    json!({
        "version": 1, "routes": routes, "limits": {"max_body_bytes": 65_536},
        "services": [{"name": SERVICE, "standby": false, "enforces_capacity": false}],
        "tenants": [{"name": "tenant", "api_keys": [KEY], "weight": 40,
                     "max_count": {"cpu": 0, "mem_mb": 0, "gpu": 0}}],
    })
}

/// A route in the configuration.
pub fn route(name: &str, target_latency_ms: u64) -> Value {
    json!({"name": name, "host": HOST, "path_prefix": format!("/{name}/"), "service": SERVICE,
           "priority": 0, "max_attempts": 4, "slack_factor": 1.6,
           "target_latency_ms": target_latency_ms, "public": false})
}

fn list_machines(minions: &[Arc<Minion>]) -> Value {
    let rows = minions.iter().map(|minion| {
        let state = if minion.is_up() { "up" } else { "down" };
        json!({"machine": format!("machine-of-{}", minion.id), "pool": SERVICE, "state": state,
               "zone": minion.zone(), "labels": minion.labels(),
               "capacity": minion.capacity(), "id": minion.id})
    });
    json!({"machines": rows.collect::<Vec<Value>>(), "next_token": ""})
}

/// What the deploy file says of the one role.
struct DeployFile {
    run: String,
    template: String,
    env: BTreeMap<String, String>,
}

impl DeployFile {
    fn read(root: &Path) -> Result<Self, String> {
        let path = root.join("deploy/system.toml");
        let text = fs::read_to_string(path).map_err(|error| format!("no deploy file: {error}"))?;
        let value = |key: &str| {
            let line =
                text.lines().find_map(|line| line.strip_prefix(key)?.trim().strip_prefix('='));
            line.map(|line| line.trim().to_owned()).ok_or(format!("no {key} in the deploy file"))
        };
        let unquoted = |text: String| text.trim_matches('"').to_owned();
        let env = value("env")?;
        let env = env.trim_start_matches('{').trim_end_matches('}').trim().to_owned();
        let pairs = env.split("\", ").filter_map(|pair| pair.split_once(" = "));
        let env = pairs
            .map(|(name, text)| (name.trim().to_owned(), text.trim().trim_matches('"').to_owned()));
        Ok(Self {
            run: unquoted(value("run")?),
            template: unquoted(value("template")?),
            env: env.collect(),
        })
    }
}

/// Fills in the placeholders `{{a.b}}` and `{{a.b|json}}`.
fn fill_in(text: &str, fields: &Value) -> String {
    let mut filled = String::new();
    let mut rest = text;
    while let Some((before, after)) = rest.split_once("{{") {
        let (name, after) = after.split_once("}}").unwrap_or((after, ""));
        filled += before;
        let (name, is_json) = match name.strip_suffix("|json") {
            Some(name) => (name, true),
            None => (name, false),
        };
        let value = name.split('.').fold(Some(fields), |value, part| match value? {
            Value::Array(values) => values.get(part.parse::<usize>().ok()?),
            value => value.get(part),
        });
        match value {
            Some(Value::String(text)) if !is_json => filled += text,
            Some(value) => filled += &value.to_string(),
            None => {}
        }
        rest = after;
    }
    filled + rest
}

/// Numbers submissions.
pub fn id(number: u64) -> String {
    format!("{:016x}", 0x5c0e_7a21_0000_0000 + number)
}
