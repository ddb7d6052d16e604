//! The checked settings of one daemon.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Default of `limits.max_body_bytes`.
pub const DEFAULT_MAX_BODY_BYTES: u64 = 8 * 1024 * 1024;
/// Default of `limits.max_connections`.
pub const DEFAULT_MAX_CONNECTIONS: u32 = 10_000;
/// Default of `limits.max_queued_requests`.
pub const DEFAULT_MAX_QUEUED_REQUESTS: u32 = 1_000;
/// Default of `limits.request_read_timeout_ms`.
pub const DEFAULT_REQUEST_READ_TIMEOUT_MS: u64 = 10_000;
/// Default of `limits.default_deadline_ms`.
pub const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// Default of `limits.shutdown_timeout_ms`. It is above the default deadline,
/// so that a request which has just begun can end before the process does.
pub const DEFAULT_SHUTDOWN_TIMEOUT_MS: u64 = 35_000;

/// Settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the process, unique in the fleet.
    pub name: String,
    /// Name of the data centre that the process runs in.
    pub data_centre: String,
    /// Addresses that the process listens on.
    pub listen: Listen,
    /// Services of the platform.
    pub platform: Platform,
    /// Other entry processes, asked before the first session is known.
    pub peers: Vec<SocketAddr>,
    /// Where the shared credentials come from.
    pub credentials: Credentials,
    /// Limits of the HTTP front end.
    pub limits: Limits,
    /// Form and level of the log.
    pub logging: Logging,
}

/// Addresses that a process listens on. Port zero lets the system choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// HTTP requests of callers.
    pub callers: SocketAddr,
    /// gRPC calls of peers and operators.
    pub peers: SocketAddr,
    /// Health, readiness and metrics.
    pub health: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Platform {
    /// Log service.
    pub log: SocketAddr,
    /// VM list.
    pub vm_list: SocketAddr,
}

/// Where the shared credentials come from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credentials {
    /// Token that peers present to each other.
    pub peer_token: CredentialSource,
    /// Token that operators present.
    pub operator_token: CredentialSource,
}

/// Where one credential comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CredentialSource {
    /// A file that holds nothing else; white space at its end is ignored.
    File(PathBuf),
    /// An environment variable.
    Environment(String),
}

/// Limits of the HTTP front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest body of a request.
    pub max_body_bytes: u64,
    /// Connections of callers that are open at the same time.
    pub max_connections: u32,
    /// Requests of one pool that wait for a slot at the same time.
    pub max_queued_requests: u32,
    /// Time in which a caller must send the head and the body.
    pub request_read_timeout_ms: u64,
    /// Time that a request may take when the caller names none.
    pub default_deadline_ms: u64,
    /// Time that work in flight may take after SIGTERM.
    pub shutdown_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
            max_connections: DEFAULT_MAX_CONNECTIONS,
            max_queued_requests: DEFAULT_MAX_QUEUED_REQUESTS,
            request_read_timeout_ms: DEFAULT_REQUEST_READ_TIMEOUT_MS,
            default_deadline_ms: DEFAULT_DEADLINE_MS,
            shutdown_timeout_ms: DEFAULT_SHUTDOWN_TIMEOUT_MS,
        }
    }
}

/// Form and level of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Logging {
    /// Form of a line.
    pub format: LogFormat,
    /// Least severe level that is written.
    pub level: LogLevel,
    /// Levels of single targets, before `level`.
    pub target_levels: BTreeMap<String, LogLevel>,
}

impl Default for Logging {
    fn default() -> Self {
        Self { format: LogFormat::Json, level: LogLevel::Info, target_levels: BTreeMap::default() }
    }
}

/// Form of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Text for people.
    Terminal,
}

/// Severity of a log line, the most severe first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogLevel {
    /// A promise is at risk, or a person must act.
    Error,
    /// Something is degraded.
    Warning,
    /// A decision or a change of state.
    Info,
    /// Detail for a search after a cause.
    Debug,
    /// Every message.
    Trace,
}
