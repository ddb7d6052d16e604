//! Errors of commands, with their exit statuses and next steps.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use cowslipport_lib::findings::Finding;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CliError {
    #[error("cannot read {}: {source}", path.display())]
    Unreadable { path: PathBuf, source: io::Error },
    #[error("{} has {}", path.display(), count(findings.len(), "finding"))]
    InvalidFile { path: PathBuf, findings: Vec<Finding> },
    #[error("the server found the input invalid:\n{}", lines.join("\n"))]
    InvalidInput { lines: Vec<String> },
    #[error("no author is given")]
    NoAuthor,
    #[error("the {what} is neither given by {option} nor by {variable}")]
    NoCredential { what: &'static str, option: &'static str, variable: &'static str },
    #[error("the {what} is empty or holds characters that a header cannot carry")]
    BadCredential { what: &'static str },
    #[error("the server refused the {what}: {message}")]
    CredentialRefused { what: &'static str, message: String },
    #[error("cannot reach {server}: {message}")]
    Unreachable { server: SocketAddr, message: String },
    #[error("{author} committed revision {revision} first; revision {expected} was expected")]
    Conflict { expected: u64, revision: u64, author: String },
    #[error("refused: {message}")]
    Refused { message: String },
    #[error("not run: {message}")]
    NotRun { message: String, retry_after_s: Option<u64> },
    #[error("the log service is unavailable; nothing was recorded")]
    LogUnavailable,
    #[error("the outcome is unknown: {message}")]
    Unknown { message: String, command: String },
    #[error(
        "offset {offset} is recorded, but not in force everywhere after {waited_ms} ms; \
         not confirmed: {}", unconfirmed.join(", ")
    )]
    NotInForce { offset: u64, waited_ms: u64, unconfirmed: Vec<String> },
    #[error("the server's answer makes no sense: {message}")]
    BadAnswer { message: String },
    #[error("cannot write the output: {0}")]
    Output(#[from] io::Error),
}

impl CliError {
    /// An unknown outcome of a command that can be repeated as it is.
    pub(crate) fn unknown<M>(message: M) -> Self
    where
        M: Into<String>,
    {
        Self::Unknown { message: message.into(), command: "the same command".to_owned() }
    }

    /// Exit status, as `--help` lists them.
    pub(crate) fn exit_status(&self) -> u8 {
        match self {
            Self::Refused { .. }
            | Self::NotRun { .. }
            | Self::LogUnavailable
            | Self::BadAnswer { .. }
            | Self::Output(_) => 1,
            Self::Unreadable { .. }
            | Self::InvalidFile { .. }
            | Self::InvalidInput { .. }
            | Self::NoAuthor => 2,
            Self::Conflict { .. } => 3,
            Self::Unreachable { .. } => 4,
            Self::NotInForce { .. } => 5,
            Self::Unknown { .. } => 6,
            Self::NoCredential { .. }
            | Self::BadCredential { .. }
            | Self::CredentialRefused { .. } => 7,
        }
    }

    /// What to do next.
    pub(crate) fn next_step(&self) -> String {
        match self {
            Self::Unreadable { .. } => "give the path of a readable file in UTF-8".to_owned(),
            Self::InvalidFile { .. } => {
                "correct the file, then run `cowslipport check FILE`".to_owned()
            }
            Self::InvalidInput { .. } => {
                "correct the input; `cowslipport status` lists what exists".to_owned()
            }
            Self::NoAuthor => "give --author NAME or set COWSLIPPORT_AUTHOR".to_owned(),
            Self::NoCredential { option, variable, .. } => {
                format!("give {option} FILE or set {variable}")
            }
            Self::BadCredential { what } => format!("put the {what} alone into its source"),
            Self::CredentialRefused { what, .. } => {
                format!("check the source of the {what}; a withdrawn one must be replaced")
            }
            Self::Unreachable { .. } => {
                "check that the daemon runs, or name another one; all are equal".to_owned()
            }
            Self::Conflict { revision, .. } => format!(
                "your file is unchanged; run `cowslipport commit FILE --dry-run`, and commit with \
                 --expect {revision} if the differences are right"
            ),
            Self::Refused { .. } => "run `cowslipport status` to see what exists".to_owned(),
            Self::NotRun { retry_after_s: Some(seconds), .. } => {
                format!("run the same command again after {seconds} s")
            }
            Self::NotRun { retry_after_s: None, .. } => "run the same command again".to_owned(),
            Self::LogUnavailable => {
                "run the same command again when `cowslipport status` shows the log as reachable"
                    .to_owned()
            }
            Self::Unknown { command, .. } => format!("run {command} again; it takes effect once"),
            Self::NotInForce { .. } => {
                "run `cowslipport status`; a process that stays silent holds back new work by \
                 itself, and the change needs no second commit"
                    .to_owned()
            }
            Self::BadAnswer { .. } => {
                "check that the tool and the daemon have the same version".to_owned()
            }
            Self::Output(_) => "check the destination of the output".to_owned(),
        }
    }
}

/// `1 finding`, `2 findings`.
pub(crate) fn count(number: usize, noun: &str) -> String {
    if number == 1 { format!("1 {noun}") } else { format!("{number} {noun}s") }
}
