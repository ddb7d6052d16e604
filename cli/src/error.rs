//! Errors of commands, with the exit status and the suggested next step of each.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use cowslipport_lib::findings::Finding;

/// Reason for the failure of a command.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CliError {
    #[error("cannot read {}: {source}", path.display())]
    UnreadableFile { path: PathBuf, source: io::Error },
    #[error("{} has {}", path.display(), format_count(findings.len(), "finding"))]
    InvalidFile { path: PathBuf, findings: Vec<Finding> },
    #[error("the server found the input invalid:\n{}", lines.join("\n"))]
    InvalidInput { lines: Vec<String> },
    #[error("no author is given")]
    MissingAuthor,
    #[error("the {credential} is missing: neither {option} nor {variable} is set")]
    MissingCredential { credential: &'static str, option: &'static str, variable: &'static str },
    #[error("the {credential} is empty or contains characters that a header cannot carry")]
    InvalidCredential { credential: &'static str },
    #[error("the server refused the {credential}: {message}")]
    CredentialRefused { credential: &'static str, message: String },
    #[error("cannot reach {server}: {message}")]
    ServerUnreachable { server: SocketAddr, message: String },
    #[error("{author} committed revision {revision} first; revision {expected} was expected")]
    Conflict { expected: u64, revision: u64, author: String },
    #[error("refused: {message}")]
    Refused { message: String },
    #[error("not run: {message}")]
    NotRun { message: String, retry_after_s: Option<u64> },
    #[error("the log service is unavailable; nothing was recorded")]
    LogUnavailable,
    #[error("the outcome is unknown: {message}")]
    UnknownOutcome { message: String, command: String },
    #[error(
        "offset {offset} is recorded, but not in force everywhere after {waited_ms} ms; \
         not confirmed: {}", unconfirmed.join(", ")
    )]
    NotInForce { offset: u64, waited_ms: u64, unconfirmed: Vec<String> },
    #[error("the server sent an invalid response: {message}")]
    InvalidResponse { message: String },
    #[error("cannot write the output: {0}")]
    Output(#[from] io::Error),
}

impl CliError {
    /// Makes the error of a command with an unknown outcome that is safe to
    /// repeat unchanged.
    pub(crate) fn unknown_outcome<M>(message: M) -> Self
    where
        M: Into<String>,
    {
        Self::UnknownOutcome { message: message.into(), command: "the same command".to_owned() }
    }

    /// Exit status, as listed by `--help`.
    pub(crate) fn exit_status(&self) -> u8 {
        match self {
            Self::Refused { .. }
            | Self::NotRun { .. }
            | Self::LogUnavailable
            | Self::InvalidResponse { .. }
            | Self::Output(_) => 1,
            Self::UnreadableFile { .. }
            | Self::InvalidFile { .. }
            | Self::InvalidInput { .. }
            | Self::MissingAuthor => 2,
            Self::Conflict { .. } => 3,
            Self::ServerUnreachable { .. } => 4,
            Self::NotInForce { .. } => 5,
            Self::UnknownOutcome { .. } => 6,
            Self::MissingCredential { .. }
            | Self::InvalidCredential { .. }
            | Self::CredentialRefused { .. } => 7,
        }
    }

    /// Suggests to the user what to do next.
    pub(crate) fn next_step(&self) -> String {
        match self {
            Self::UnreadableFile { .. } => "give the path of a readable file in UTF-8".to_owned(),
            Self::InvalidFile { .. } => {
                "correct the file, then run `cowslipport check FILE`".to_owned()
            }
            Self::InvalidInput { .. } => {
                "correct the input; `cowslipport status` lists what exists".to_owned()
            }
            Self::MissingAuthor => "give --author NAME or set COWSLIPPORT_AUTHOR".to_owned(),
            Self::MissingCredential { option, variable, .. } => {
                format!("give {option} FILE or set {variable}")
            }
            Self::InvalidCredential { credential } => {
                format!("make sure that the file or variable holds only the {credential}")
            }
            Self::CredentialRefused { credential, .. } => {
                format!(
                    "check the file or variable that holds the {credential}; \
                     a withdrawn {credential} must be replaced"
                )
            }
            Self::ServerUnreachable { .. } => {
                "check that the daemon is running, or use another one; any daemon will do"
                    .to_owned()
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
            Self::UnknownOutcome { command, .. } => {
                format!("run {command} again; it takes effect once")
            }
            Self::NotInForce { .. } => {
                "run `cowslipport status`; a process that stays out of contact refuses new work by \
                 itself, and the change needs no second commit"
                    .to_owned()
            }
            Self::InvalidResponse { .. } => {
                "check that the tool and the daemon have the same version".to_owned()
            }
            Self::Output(_) => "check the destination of the output".to_owned(),
        }
    }
}

/// Formats a count with its noun: `1 finding`, `2 findings`.
pub(crate) fn format_count(number: usize, noun: &str) -> String {
    if number == 1 { format!("1 {noun}") } else { format!("{number} {noun}s") }
}
