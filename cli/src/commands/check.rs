//! `check FILE`: checks a manifest or settings without a server.

use std::path::Path;
use std::path::PathBuf;

use clap::Args;
use clap::ValueEnum;
use cowslipport_lib::config::Manifest;
use cowslipport_lib::file_kind::FileKind;
use cowslipport_lib::findings::Findings;
use cowslipport_lib::settings::Settings;
use serde::Serialize;

use crate::arguments::Format;
use crate::arguments::FormatArguments;
use crate::error::CliError;
use crate::error::format_count;
use crate::output;

/// Check a manifest or settings file and report all findings.
#[derive(Debug, Args)]
pub(crate) struct CheckArguments {
    /// Manifest or settings file.
    file: PathBuf,
    /// Kind of the file; detected from its content if not given.
    #[arg(long, value_enum)]
    kind: Option<Kind>,
    #[command(flatten)]
    output: FormatArguments,
}

#[derive(Clone, Copy, Debug, Serialize, ValueEnum)]
#[serde(rename_all = "lowercase")]
enum Kind {
    Manifest,
    Settings,
}

#[derive(Serialize)]
struct Report<'a> {
    file: &'a Path,
    kind: Kind,
    valid: bool,
    findings: Vec<ReportedFinding<'a>>,
}

#[derive(Serialize)]
struct ReportedFinding<'a> {
    line: usize,
    path: &'a str,
    message: &'a str,
}

pub(crate) fn read_file(path: &Path) -> Result<String, CliError> {
    std::fs::read_to_string(path)
        .map_err(|source| CliError::UnreadableFile { path: path.to_owned(), source })
}

pub(crate) fn cmd_check(arguments: &CheckArguments) -> Result<(), CliError> {
    let file = arguments.file.as_path();
    let text = read_file(file)?;
    let kind = arguments.kind.unwrap_or_else(|| match FileKind::detect(&text) {
        FileKind::Manifest => Kind::Manifest,
        FileKind::Settings => Kind::Settings,
    });
    let result = match kind {
        Kind::Manifest => Manifest::from_toml(&text).map(|manifest| describe(&manifest)),
        Kind::Settings => Settings::from_toml(&text)
            .map(|settings| format!("valid settings of process {}", settings.name)),
    };
    match result {
        Ok(description) => {
            let report = Report { file, kind, valid: true, findings: Vec::new() };
            let text = format!("{}: {description}", file.display());
            output::print(arguments.output.format, text, &report)
        }
        Err(findings) => {
            if arguments.output.format == Format::Json {
                let findings = report_findings(&findings);
                let report = Report { file, kind, valid: false, findings };
                output::print(arguments.output.format, "", &report)?;
            }
            Err(CliError::InvalidFile { path: file.to_owned(), findings: findings.list })
        }
    }
}

fn report_findings(findings: &Findings) -> Vec<ReportedFinding<'_>> {
    findings
        .list
        .iter()
        .map(|finding| ReportedFinding {
            line: finding.location.line,
            path: &finding.location.path,
            message: &finding.message,
        })
        .collect()
}

fn describe(manifest: &Manifest) -> String {
    let budgets = manifest.budgets.values().map(Vec::len).sum();
    format!(
        "valid manifest with {}, {}, {}, {}, {}",
        format_count(manifest.data_centres.len(), "data centre"),
        format_count(manifest.pools.len(), "pool"),
        format_count(manifest.organisations.len(), "organisation"),
        format_count(budgets, "budget"),
        format_count(manifest.waves.len(), "wave")
    )
}
