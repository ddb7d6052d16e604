//! Validated settings of one daemon.

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
/// Default of `limits.shutdown_timeout_ms`. It exceeds the default deadline, so
/// that a request accepted just before the shutdown can finish.
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
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Addresses of other entry processes, used while no other session is known.
    pub peers: Vec<SocketAddr>,
    /// Sources of the shared credentials.
    pub credentials: Credentials,
    /// Limits of the HTTP front end.
    pub limits: Limits,
    /// Format and level of the log.
    pub logging: Logging,
}

/// Addresses that a process listens on. With port zero, the operating system
/// chooses a port.
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
    /// VM list service.
    pub vm_list: SocketAddr,
}

/// Sources of the shared credentials.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Credentials {
    /// Token that peers present to each other.
    pub peer_token: CredentialSource,
    /// Token that operators present.
    pub operator_token: CredentialSource,
}

/// Source of one credential.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CredentialSource {
    /// A file that contains only the credential; trailing white space is
    /// ignored.
    File(PathBuf),
    /// An environment variable.
    Environment(String),
}

/// Limits of the HTTP front end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request body.
    pub max_body_bytes: u64,
    /// Maximum number of open caller connections.
    pub max_connections: u32,
    /// Maximum number of requests of one pool that wait for a slot.
    pub max_queued_requests: u32,
    /// Time within which a caller must send the head and the body of a request.
    pub request_read_timeout_ms: u64,
    /// Time that a request may take if its caller sets no deadline.
    pub default_deadline_ms: u64,
    /// Time that requests in flight may take after SIGTERM.
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

/// Format and level of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Logging {
    /// Format of a log line.
    pub format: LogFormat,
    /// Least severe level that is logged.
    pub level: LogLevel,
    /// Levels of individual targets, which take precedence over `level`.
    pub target_levels: BTreeMap<String, LogLevel>,
}

impl Default for Logging {
    fn default() -> Self {
        Self { format: LogFormat::Json, level: LogLevel::Info, target_levels: BTreeMap::default() }
    }
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Human-readable text.
    Terminal,
}

/// Severity of a log line. Levels are ordered from the most severe one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogLevel {
    /// A guarantee is at risk, or an operator must act.
    Error,
    /// A function of the process is degraded.
    Warning,
    /// A decision or a state change.
    Info,
    /// Details for troubleshooting.
    Debug,
    /// Every message.
    Trace,
}
