//! Conversion of settings from the generated to the validated types.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::findings::Findings;
use crate::protos::config as raw;
use crate::settings::CredentialSource;
use crate::settings::Credentials;
use crate::settings::Limits;
use crate::settings::Listen;
use crate::settings::LogFormat;
use crate::settings::LogLevel;
use crate::settings::Logging;
use crate::settings::Platform;
use crate::settings::Settings;
use crate::toml_source::TomlSource;
use crate::wire::config::parse_name;

impl Settings {
    /// Reads settings from TOML text. The error holds all findings in the order
    /// of their lines.
    pub fn from_toml(text: &str) -> Result<Self, Findings> {
        TomlSource::<raw::Settings>::parse(text).validate(|raw| Self::try_from(raw))
    }
}

impl TryFrom<&raw::Settings> for Settings {
    type Error = Findings;

    fn try_from(raw: &raw::Settings) -> Result<Self, Findings> {
        let mut findings = Findings::default();
        let settings = Self {
            name: parse_name(raw.name.as_deref(), "", "name", &mut findings),
            data_centre: parse_name(raw.data_centre.as_deref(), "", "data_centre", &mut findings),
            listen: listen(&raw.listen.clone().unwrap_or_default(), &mut findings),
            platform: platform(&raw.platform.clone().unwrap_or_default(), &mut findings),
            peers: raw
                .peers
                .iter()
                .enumerate()
                .map(|(index, peer)| address(Some(peer), &format!("peers[{index}]"), &mut findings))
                .collect(),
            credentials: credentials(&raw.credentials.clone().unwrap_or_default(), &mut findings),
            limits: limits(&raw.limits.unwrap_or_default(), &mut findings),
            logging: logging(raw.logging.as_ref(), &mut findings),
        };
        findings.into_result(settings)
    }
}

fn address(raw: Option<&str>, path: &str, findings: &mut Findings) -> SocketAddr {
    let unspecified = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    let Some(text) = raw else {
        findings.add(path, "field is missing");
        return unspecified;
    };
    text.parse().unwrap_or_else(|_| {
        let message = format!("{text:?} is not an address such as \"10.0.0.1:7000\"");
        findings.add(path, message);
        unspecified
    })
}

fn listen(raw: &raw::Listen, findings: &mut Findings) -> Listen {
    let listen = Listen {
        callers: address(raw.callers.as_deref(), "listen.callers", findings),
        peers: address(raw.peers.as_deref(), "listen.peers", findings),
        health: address(raw.health.as_deref(), "listen.health", findings),
    };
    let mut seen = BTreeMap::new();
    for (key, address) in
        [("callers", listen.callers), ("peers", listen.peers), ("health", listen.health)]
    {
        if address.port() == 0 {
            continue;
        }
        if let Some(other) = seen.insert(address, key) {
            let message = format!("{address} is also the address of listen.{other}");
            findings.add(format!("listen.{key}"), message);
        }
    }
    listen
}

fn platform(raw: &raw::Platform, findings: &mut Findings) -> Platform {
    Platform {
        log: address(raw.log.as_deref(), "platform.log", findings),
        vm_list: address(raw.vm_list.as_deref(), "platform.vm_list", findings),
    }
}

fn credentials(raw: &raw::Credentials, findings: &mut Findings) -> Credentials {
    Credentials {
        peer_token: credential(
            raw.peer_token_file.as_deref(),
            raw.peer_token_env.as_deref(),
            "peer_token",
            findings,
        ),
        operator_token: credential(
            raw.operator_token_file.as_deref(),
            raw.operator_token_env.as_deref(),
            "operator_token",
            findings,
        ),
    }
}

fn credential(
    file: Option<&str>,
    variable: Option<&str>,
    key: &str,
    findings: &mut Findings,
) -> CredentialSource {
    let path = format!("credentials.{key}_file");
    match (file, variable) {
        (Some(""), None) => findings.add(path, "must not be empty"),
        (Some(file), None) => return CredentialSource::File(PathBuf::from(file)),
        (None, Some("")) => {
            findings.add(format!("credentials.{key}_env"), "must not be empty");
        }
        (None, Some(variable)) => return CredentialSource::Environment(variable.to_owned()),
        (None, None) => {
            findings.add(path, format!("field is missing; give {key}_file or {key}_env"));
        }
        (Some(_), Some(_)) => {
            findings.add(path, format!("give {key}_file or {key}_env, not both"));
        }
    }
    CredentialSource::Environment(String::new())
}

fn limits(raw: &raw::Limits, findings: &mut Findings) -> Limits {
    let default = Limits::default();
    Limits {
        max_body_bytes: at_least_one(
            raw.max_body_bytes,
            default.max_body_bytes,
            "max_body_bytes",
            findings,
        ),
        max_connections: at_least_one(
            raw.max_connections,
            default.max_connections,
            "max_connections",
            findings,
        ),
        max_queued_requests: at_least_one(
            raw.max_queued_requests,
            default.max_queued_requests,
            "max_queued_requests",
            findings,
        ),
        request_read_timeout_ms: at_least_one(
            raw.request_read_timeout_ms,
            default.request_read_timeout_ms,
            "request_read_timeout_ms",
            findings,
        ),
        default_deadline_ms: at_least_one(
            raw.default_deadline_ms,
            default.default_deadline_ms,
            "default_deadline_ms",
            findings,
        ),
        shutdown_timeout_ms: at_least_one(
            raw.shutdown_timeout_ms,
            default.shutdown_timeout_ms,
            "shutdown_timeout_ms",
            findings,
        ),
    }
}

fn at_least_one<T>(raw: Option<T>, default: T, key: &str, findings: &mut Findings) -> T
where
    T: Copy + Default + PartialEq,
{
    if raw == Some(T::default()) {
        findings.add(format!("limits.{key}"), "must be at least 1");
    }
    raw.unwrap_or(default)
}

fn logging(raw: Option<&raw::Logging>, findings: &mut Findings) -> Logging {
    let default = Logging::default();
    let Some(raw) = raw else { return default };
    let format = match raw.format.as_deref() {
        None => default.format,
        Some("json") => LogFormat::Json,
        Some("terminal") => LogFormat::Terminal,
        Some(other) => {
            let message = format!("{other:?} is not one of \"json\", \"terminal\"");
            findings.add("logging.format", message);
            default.format
        }
    };
    let level = match raw.level.as_deref() {
        None => default.level,
        Some(text) => level(text, "logging.level", findings),
    };
    let target_levels = raw
        .target_levels
        .iter()
        .map(|(target, text)| {
            let path = format!("logging.target_levels.{target}");
            (target.clone(), self::level(text, &path, findings))
        })
        .collect();
    Logging { format, level, target_levels }
}

fn level(text: &str, path: &str, findings: &mut Findings) -> LogLevel {
    match text {
        "error" => LogLevel::Error,
        "warning" => LogLevel::Warning,
        "info" => LogLevel::Info,
        "debug" => LogLevel::Debug,
        "trace" => LogLevel::Trace,
        other => {
            let message = format!(
                "{other:?} is not one of \"error\", \"warning\", \"info\", \"debug\", \"trace\""
            );
            findings.add(path, message);
            LogLevel::Info
        }
    }
}
