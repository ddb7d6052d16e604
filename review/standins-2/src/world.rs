//! A small deployment: the platform's stand-ins, minions, and nodes as processes.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::advice::Advice;
use crate::http;
use crate::http::Response;
use crate::http::Server;
use crate::json;
use crate::json::Value;
use crate::json::object;
use crate::minion::Kind;
use crate::minion::Machine;
use crate::minion::Minions;
use crate::node::Node;
use crate::node::Platform;
use crate::record::Record;
use crate::store::Store;

pub const HOST: &str = "desk.example";
pub const KEY: &str = "k0123456789abcdefghij";
const CALL_LIMIT: Duration = Duration::from_millis(3_000);

/// A deployment of three nodes.
pub struct World {
    pub record: Record,
    pub store: Arc<Store>,
    pub minions: Arc<Minions>,
    pub nodes: Vec<Node>,
    directory: PathBuf,
    _servers: Vec<Server>,
}

/// A queue of the configuration.
pub struct Queue {
    pub name: &'static str,
    pub prefix: &'static str,
    pub service: &'static str,
    pub max_attempts: u64,
    pub advice: Option<Policy>,
}

/// The policy of a queue, for which the advice service gives tickets.
#[derive(Clone, Copy)]
pub struct Policy {
    pub decision_ms: u64,
    pub period_ms: u64,
    pub valid_ms: u64,
    /// Numbers of the machines whose minions may run the steps.
    pub allowed: &'static [usize],
}

impl World {
    /// Starts the stand-ins, writes the configuration, and starts three nodes.
    pub fn start(
        folder: &Path,
        queues: &[Queue],
        machines: Vec<(Machine, Kind)>,
    ) -> io::Result<Self> {
        let directory =
            std::env::temp_dir().join(format!("cowslipport-review-2-{}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let record = Record::create(&folder.join("record.txt"))?;
        let (store, store_server) = Store::start();
        store.put("keyed.op", "config", &configuration(queues).to_string());
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let policy = queues.iter().find_map(|queue| queue.advice);
        let advice = policy.map(|policy| {
            let Policy { decision_ms, period_ms, valid_ms, allowed } = policy;
            let allowed = allowed.iter().map(|number| Minions::first_id(*number)).collect();
            Arc::new(Advice::new(decision_ms, period_ms, valid_ms, allowed, record.clone()))
        });
        let advice_server = match advice.clone() {
            Some(advice) => Some(Server::start(
                loopback,
                Arc::new(move |request| Some(advice.handle(request))),
            )?),
            None => None,
        };
        let minions = Minions::start(machines, Arc::clone(&store), advice, record.clone());
        let listed = Arc::clone(&minions);
        let cloud_server = Server::start(
            loopback,
            Arc::new(move |request| {
                Some(match request.path.as_str() {
                    "/machines" => Response::new(200, listed.machines().to_string()),
                    "/machine-upkeep" => {
                        let body = json::parse(request.text()).unwrap_or(Value::Null);
                        let (status, reason) = listed.upkeep(body.get("machine").text());
                        Response::new(status, object(&[("reason", reason.into())]).to_string())
                    }
                    // There is one pool, so no move is due.
                    _ => Response::new(409, object(&[("reason", "busy".into())]).to_string()),
                })
            }),
        )?;
        let platform = Platform {
            store: store_server.address,
            cloud: cloud_server.address,
            advice: advice_server.as_ref().map(|server| server.address),
        };
        let mut nodes = Vec::new();
        for number in 1..=3 {
            nodes.push(Node::start(&format!("edge-a-{number}"), &directory, platform)?);
        }
        let servers = [store_server, cloud_server].into_iter().chain(advice_server).collect();
        Ok(Self { record, store, minions, nodes, directory, _servers: servers })
    }

    /// Waits until each node answers calls and the minions are known to the owner.
    pub fn wait_until_ready(&mut self, queue: &Queue) -> io::Result<()> {
        let deadline = Instant::now() + Duration::from_secs(15);
        for number in 0..self.nodes.len() {
            loop {
                let answer = self.call(number, "GET", queue.prefix, "");
                if matches!(answer, Ok((200, _))) {
                    break;
                }
                if Instant::now() > deadline || !self.nodes[number].is_running() {
                    return Err(io::Error::other(format!("node {number} does not get ready")));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        thread::sleep(Duration::from_secs(2));
        self.record.line("READY");
        Ok(())
    }

    /// Makes a call at a node with the key of the tenant.
    pub fn call(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> io::Result<(u16, String)> {
        let key = format!("Bearer {KEY}");
        let headers = [
            ("Host", HOST),
            ("Authorization", key.as_str()),
            ("Content-Type", "application/json"),
            ("X-Cowslipport-Deadline-Ms", "3000"),
        ];
        http::call(self.nodes[node].callers, method, path, &headers, body, CALL_LIMIT)
    }

    /// Submits a submission, at another node after each failure, as consumers do.
    pub fn submit(&self, queue: &Queue, id: &str, body: &Value) -> bool {
        for attempt in 0..6 {
            let node = attempt % self.nodes.len();
            let answer =
                self.call(node, "POST", &format!("{}{id}", queue.prefix), &body.to_string());
            let status = answer.as_ref().map_or(0, |(status, _)| *status);
            self.record.line(format!("SUBMIT {id} at {} -> {status}", self.nodes[node].name));
            if status == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// State of a submission; empty without an answer.
    pub fn state(&self, queue: &Queue, id: &str) -> String {
        for node in 0..self.nodes.len() {
            let answer = self.call(node, "GET", &format!("{}{id}", queue.prefix), "");
            if let Ok((200, body)) = answer {
                return json::parse(&body).unwrap_or(Value::Null).get("state").text().to_owned();
            }
        }
        String::new()
    }

    /// Whether all nodes run still.
    pub fn are_nodes_running(&mut self) -> bool {
        self.nodes.iter_mut().all(Node::is_running)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.nodes.clear();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn configuration(queues: &[Queue]) -> Value {
    let routes: Vec<Value> = queues
        .iter()
        .map(|queue| {
            let mut fields = vec![
                ("name", queue.name.into()),
                ("host", HOST.into()),
                ("path_prefix", queue.prefix.into()),
                ("kind", "non_idempotent".into()),
                ("timeout_ms", 3_000_u64.into()),
                ("target_latency_ms", 600_u64.into()),
                ("priority", 0_u64.into()),
                ("service", queue.service.into()),
                ("max_attempts", queue.max_attempts.into()),
                ("slack_factor", Value::Number(1.6)),
                ("public", false.into()),
            ];
            if let Some(policy) = queue.advice {
                let advice = object(&[
                    ("decision_ms", policy.decision_ms.into()),
                    ("period_ms", policy.period_ms.into()),
                    ("valid_ms", policy.valid_ms.into()),
                ]);
                fields.push(("advice", advice));
            }
            object(&fields)
        })
        .collect();
    let mut names: Vec<&str> = queues.iter().map(|queue| queue.service).collect();
    names.dedup();
    let services: Vec<Value> = names
        .iter()
        .map(|name| {
            object(&[
                ("name", (*name).into()),
                ("health_path", "/healthz".into()),
                ("max_conns", 64_u64.into()),
                ("protocol", "h1".into()),
                ("enforces_capacity", false.into()),
                ("standby", false.into()),
            ])
        })
        .collect();
    let limit = object(&[("cpu", 0_u64.into()), ("mem_mb", 0_u64.into()), ("gpu", 0_u64.into())]);
    let tenant = object(&[
        ("name", "tenant-a".into()),
        ("api_keys", Value::List(vec![KEY.into()])),
        ("priority", 1_u64.into()),
        ("weight", 75_u64.into()),
        ("max_count", limit),
    ]);
    object(&[
        ("version", 1_u64.into()),
        ("routes", routes.into()),
        ("services", services.into()),
        ("limits", object(&[("max_body_bytes", 262_144_u64.into())])),
        ("tenants", Value::List(vec![tenant])),
    ])
}
