//! Starts the program of the deploy file as a process, with settings that are filled
//! in from the template of the deploy file.

use std::fs;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use crate::json::Value;
use crate::json::object;
use crate::store::PARTITIONS;

/// The platform's addresses that the settings name.
#[derive(Clone, Copy)]
pub struct Platform {
    pub store: SocketAddr,
    pub cloud: SocketAddr,
    pub advice: Option<SocketAddr>,
}

/// A node as a process.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: String,
    child: Option<Child>,
}

/// Ports below those that the system gives to outgoing connections, so that a port
/// stays free while nothing listens on it.
const PORTS: std::ops::Range<u16> = 20_000..30_000;

/// A loopback port on which nothing listens, other than those returned before.
pub fn free_port() -> io::Result<u16> {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let size = u32::from(PORTS.end - PORTS.start);
    for _ in 0..size {
        let number = TAKEN.fetch_add(1, Ordering::Relaxed) + std::process::id() * 97;
        let port = PORTS.start + u16::try_from(number % size).unwrap_or(0);
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return Ok(port);
        }
    }
    Err(io::Error::other("no loopback port is free"))
}

impl Node {
    /// Writes the settings of a node and starts it from the repository root.
    pub fn start(name: &str, directory: &Path, platform: Platform) -> io::Result<Self> {
        let address = |port: u16| format!("127.0.0.1:{port}");
        let (frontend, ready, metrics) = (free_port()?, free_port()?, free_port()?);
        let advice = platform.advice.map_or(Value::Null, |advice| advice.to_string().into());
        let fields = object(&[
            ("node_name", name.into()),
            ("zone", "zone-a".into()),
            ("ip", "127.0.0.1".into()),
            (
                "listen_addrs",
                object(&[("frontend", address(frontend).into()), ("ready", address(ready).into())]),
            ),
            (
                "internal_ports",
                Value::List(vec![u64::from(metrics).into(), u64::from(metrics).into()]),
            ),
            (
                "limits",
                object(&[
                    ("cpu_quota", Value::Number(0.25)),
                    ("link_mbps", Value::Number(1_000.0)),
                ]),
            ),
            ("advice", advice),
            (
                "platform",
                object(&[
                    ("address", platform.store.to_string().into()),
                    ("parts", PARTITIONS.into()),
                    ("ttl_min_ms", 1_000_u64.into()),
                ]),
            ),
            (
                "cloud_api",
                object(&[
                    ("address", platform.cloud.to_string().into()),
                    ("duty_per_s", Value::Number(64.0)),
                ]),
            ),
            (
                "bounds",
                object(&[
                    ("revoke_ms", 5_000_u64.into()),
                    ("visible_ms", 3_000_u64.into()),
                    ("status_s", 120_u64.into()),
                    ("lease_ms", 3_000_u64.into()),
                    ("grace_s", 6_u64.into()),
                ]),
            ),
        ]);
        let deploy = fs::read_to_string("deploy/system.toml")?;
        let field = |name: &str| {
            let line = deploy.lines().find(|line| line.starts_with(&format!("{name} = ")));
            line.and_then(|line| line.split('"').nth(1)).unwrap_or_default().to_owned()
        };
        let template = fs::read_to_string(field("template"))?;
        let settings = directory.join(format!("{name}.settings"));
        fs::write(&settings, fill_in(&template, &fields))?;
        let mut node = Self {
            name: name.to_owned(),
            callers: SocketAddr::from(([127, 0, 0, 1], frontend)),
            settings,
            log: directory.join(format!("{name}.log")),
            program: field("run"),
            child: None,
        };
        node.launch()?;
        Ok(node)
    }

    fn launch(&mut self) -> io::Result<()> {
        let mut words = self.program.split(' ');
        let program = words.next().unwrap_or_default();
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(program)
            .args(words)
            .env("COWSLIPPORT_BOOT", &self.settings)
            .stdout(log.try_clone()?)
            .stderr(log)
            .stdin(Stdio::null())
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Fills in the placeholders of a template. The template of this project uses plain
/// placeholders only, with or without `|json`.
fn fill_in(template: &str, fields: &Value) -> String {
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        let (name, tail) = after.split_once("}}").expect("placeholders are closed");
        let (name, is_json) = match name.strip_suffix("|json") {
            Some(name) => (name, true),
            None => (name, false),
        };
        let value = name.split('.').fold(fields, |value, part| match part.parse::<usize>() {
            Ok(index) => value.list().get(index).unwrap_or(&Value::Null),
            Err(_) => value.get(part),
        });
        text += before;
        match value {
            Value::Null if !is_json => {}
            Value::Text(plain) if !is_json => text += plain,
            value => text += &value.to_string(),
        }
        rest = tail;
    }
    text + rest
}
