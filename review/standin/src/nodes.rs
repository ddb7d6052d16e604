//! The nodes, which are processes of their own.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread::sleep;
use std::time::Duration;

use crate::http;

/// A node that runs as a process.
pub struct Node {
    pub name: String,
    pub frontend: SocketAddr,
    ready: SocketAddr,
    process: Child,
    settings: PathBuf,
    log: PathBuf,
}

/// The program and the template of the deploy file.
const PROGRAM: &str = "target/release/cowslipport-node";
const TEMPLATE: &str = "deploy/settings.toml.tmpl";

impl Node {
    /// Starts a node whose settings and output lie in `folder`.
    pub fn start(
        name: &str,
        zone: &str,
        [frontend, ready, metrics]: [SocketAddr; 3],
        store: SocketAddr,
        machines: SocketAddr,
        folder: &Path,
    ) -> Self {
        let text = |value: &str| format!("\"{value}\"");
        let values = [
            ("{{node_name|json}}", text(name)),
            ("{{zone|json}}", text(zone)),
            ("{{limits.cpu_quota}}", "0.25".to_owned()),
            ("{{limits.link_mbps}}", "1000.0".to_owned()),
            ("{{listen_addrs.frontend|json}}", text(&frontend.to_string())),
            ("{{listen_addrs.ready|json}}", text(&ready.to_string())),
            ("{{ip}}:{{internal_ports.0}}", metrics.to_string()),
            ("{{platform.address|json}}", text(&store.to_string())),
            ("{{cloud_api.address|json}}", text(&machines.to_string())),
            ("{{cloud_api.duty_per_s}}", "64.0".to_owned()),
            ("{{platform.parts}}", crate::store::PARTITIONS.to_string()),
            ("{{advice}}", String::new()),
            ("{{platform.ttl_min_ms}}", "1000".to_owned()),
            ("{{bounds.revoke_ms}}", "5000".to_owned()),
            ("{{bounds.visible_ms}}", "3000".to_owned()),
            ("{{bounds.status_s}}", "120".to_owned()),
            ("{{bounds.lease_ms}}", "3000".to_owned()),
            ("{{bounds.grace_s}}", "6".to_owned()),
        ];
        let mut settings = fs::read_to_string(TEMPLATE).expect("the template of the settings");
        for (placeholder, value) in values {
            settings = settings.replace(placeholder, &value);
        }
        assert!(!settings.contains("{{"), "a placeholder has no value:\n{settings}");
        let path = folder.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        let process = run(&path, &log);
        Self { name: name.to_owned(), frontend, ready, process, settings: path, log }
    }

    /// Waits until the process has ended, and starts it again.
    pub fn start_again(&mut self) {
        let _ = self.process.wait();
        self.process = run(&self.settings, &self.log);
    }

    /// Kills the process, and starts it again after `delay`.
    pub fn kill_and_start_again(&mut self, delay: Duration) {
        self.signal("-KILL");
        let _ = self.process.wait();
        sleep(delay);
        self.process = run(&self.settings, &self.log);
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let answer = http::call(self.ready, "GET", "/readyz", &[("Host", "node")], "", limit);
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        let id = self.process.id().to_string();
        let status = Command::new("kill").args([signal, &id]).status();
        assert!(status.is_ok_and(|status| status.success()), "kill {signal} {id}");
    }
}

/// Free addresses for some nodes. All ports are taken before the first is given
/// back, so that no two are the same.
pub fn free_addresses(nodes: usize) -> Vec<[SocketAddr; 3]> {
    let bind = || TcpListener::bind("127.0.0.1:0").expect("a free port");
    let listeners: Vec<[TcpListener; 3]> = (0..nodes).map(|_| [bind(), bind(), bind()]).collect();
    let address = |listener: &TcpListener| listener.local_addr().expect("an address");
    listeners.iter().map(|three| three.each_ref().map(address)).collect()
}

fn run(settings: &Path, log: &Path) -> Child {
    let output = File::options().create(true).append(true).open(log).expect("a log file");
    Command::new(PROGRAM)
        .env("COWSLIPPORT_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(output)
        .spawn()
        .expect("the node's program starts")
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
