//! Generates the Rust code of the schemas in `lib/src/protos` and
//! `platform/src/protos`, and the reference pages of manifest and settings in
//! `docs`.
//!
//! With `--check`, the generator writes nothing. It compares the generated files
//! with the committed ones and fails if they differ.

mod pages;

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use prost_types::FileDescriptorSet;

/// Error of the generator.
#[derive(Debug, thiserror::Error)]
enum GenError {
    #[error("schemas do not compile: {0}")]
    Compile(#[from] protox::Error),
    #[error("cannot access {path}: {source}")]
    Io { path: PathBuf, source: io::Error },
    #[error("generated files differ from the committed ones: {}", files.join(", "))]
    Differs { files: Vec<String> },
}

const SCHEMAS: [&str; 7] = [
    "config.proto",
    "control.proto",
    "platform.proto",
    "peer.proto",
    "caller.proto",
    "workload.proto",
    "node.proto",
];

/// Messages that the command line tool prints as JSON.
const JSON_OUTPUT_MESSAGES: [&str; 10] = [
    ".cowslipport.control.Resources",
    ".cowslipport.peer.MemberProgress",
    ".cowslipport.peer.StatusReply",
    ".cowslipport.peer.PoolStatus",
    ".cowslipport.peer.OrganisationStatus",
    ".cowslipport.peer.DataCentreStatus",
    ".cowslipport.peer.WaveStatus",
    ".cowslipport.peer.MemberStatus",
    ".cowslipport.peer.ExplainReply",
    ".cowslipport.peer.ExplainLine",
];

fn main() -> ExitCode {
    let check = std::env::args().any(|argument| argument == "--check");
    match run(check) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Schemas of the adapter for the external platform.
const PLATFORM_SCHEMAS: [&str; 2] = ["contract.proto", "settings.proto"];

/// Messages that the external platform encodes as JSON arrays, each with the type
/// from which it is deserialised.
const ROW_TYPES: [(&str, &str); 5] = [
    (".cowslipport.contract.Grant", "crate::rows::GrantRow"),
    (".cowslipport.contract.Running", "crate::rows::RunningRow"),
    (".cowslipport.contract.Finished", "crate::rows::FinishedRow"),
    (".cowslipport.contract.Part", "crate::rows::PartRow"),
    (".cowslipport.contract.OwnedPart", "crate::rows::OwnedPartRow"),
];

fn run(check: bool) -> Result<(), GenError> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let (protos, docs) = (root.join("lib/src/protos"), root.join("docs"));
    let platform = root.join("platform/src/protos");
    let descriptors = protox::compile(SCHEMAS, [&protos])?;
    let pages = pages::pages(&descriptors);
    let mut generated = generate(&root, "lib", &protos, generate_lib, descriptors)?;
    let contract = protox::compile(PLATFORM_SCHEMAS, [&platform])?;
    generated.extend(generate(&root, "platform", &platform, generate_platform, contract)?);
    for (name, page) in pages {
        generated.insert(docs.join(name), page);
    }
    if check {
        return compare(&generated, &[&protos, &platform]);
    }
    for (path, content) in &generated {
        fs::write(path, content).map_err(|source| io_error(path, source))?;
    }
    Ok(())
}

/// Generates the sources in a scratch directory and returns them by the paths at
/// which they are committed.
fn generate(
    root: &Path,
    scratch: &str,
    protos: &Path,
    generator: fn(FileDescriptorSet, &Path) -> Result<(), GenError>,
    descriptors: FileDescriptorSet,
) -> Result<BTreeMap<PathBuf, String>, GenError> {
    let scratch = root.join("target/generated").join(scratch);
    fs::create_dir_all(&scratch).map_err(|source| io_error(&scratch, source))?;
    generator(descriptors, &scratch)?;
    let sources = read_sources(&scratch)?;
    Ok(sources.into_iter().map(|(name, source)| (protos.join(name), source)).collect())
}

fn generate_platform(descriptors: FileDescriptorSet, out: &Path) -> Result<(), GenError> {
    let mut builder = tonic_prost_build::configure();
    builder = builder
        .type_attribute(".cowslipport.contract", "#[derive(serde::Serialize, serde::Deserialize)]");
    for (message, row) in ROW_TYPES {
        builder = builder.type_attribute(message, format!("#[serde(from = \"{row}\")]"));
    }
    builder
        .out_dir(out)
        .type_attribute(".cowslipport.contract", "#[serde(default)]")
        .field_attribute(".cowslipport.contract.RunStart.checkpoint", SKIP_NONE)
        .field_attribute(".cowslipport.contract.RunStart.ticket", SKIP_NONE)
        .field_attribute(".cowslipport.contract.Hold.expires_ms", SKIP_NONE)
        .type_attribute(
            ".cowslipport.deployment",
            "#[derive(serde::Serialize, serde::Deserialize)]",
        )
        .type_attribute(".cowslipport.deployment", "#[serde(default, deny_unknown_fields)]")
        .compile_fds(descriptors)
        .map_err(|source| io_error(out, source))
}

const SKIP_NONE: &str = "#[serde(skip_serializing_if = \"Option::is_none\")]";

fn generate_lib(descriptors: FileDescriptorSet, out: &Path) -> Result<(), GenError> {
    let mut builder = tonic_prost_build::configure();
    for message in JSON_OUTPUT_MESSAGES {
        builder = builder.type_attribute(message, "#[derive(serde::Serialize)]");
    }
    builder
        .out_dir(out)
        .btree_map(".")
        .type_attribute(".cowslipport.config", "#[derive(serde::Serialize, serde::Deserialize)]")
        .type_attribute(".cowslipport.config", "#[serde(default, deny_unknown_fields)]")
        .field_attribute(".cowslipport.config.Manifest.data_centre", SKIP_EMPTY)
        .field_attribute(".cowslipport.config.Manifest.pool", SKIP_EMPTY)
        .field_attribute(".cowslipport.config.Manifest.organisation", SKIP_EMPTY)
        .field_attribute(".cowslipport.config.Manifest.budget", SKIP_EMPTY)
        .field_attribute(".cowslipport.config.Manifest.wave", SKIP_EMPTY)
        .type_attribute(".cowslipport.caller", "#[derive(serde::Serialize, serde::Deserialize)]")
        .type_attribute(".cowslipport.caller", "#[serde(default)]")
        .type_attribute(".cowslipport.caller.SubmitJob", "#[serde(deny_unknown_fields)]")
        .type_attribute(".cowslipport.node", "#[derive(serde::Serialize, serde::Deserialize)]")
        .type_attribute(".cowslipport.node", "#[serde(default)]")
        .type_attribute(".cowslipport.node.PreviewRequest", "#[serde(deny_unknown_fields)]")
        .compile_fds(descriptors)
        .map_err(|source| io_error(out, source))
}

const SKIP_EMPTY: &str = "#[serde(skip_serializing_if = \"Vec::is_empty\")]";

fn read_sources(folder: &Path) -> Result<BTreeMap<String, String>, GenError> {
    let mut sources = BTreeMap::new();
    for entry in fs::read_dir(folder).map_err(|source| io_error(folder, source))? {
        let path = entry.map_err(|source| io_error(folder, source))?.path();
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        if !name.starts_with("cowslipport.") || !name.ends_with(".rs") {
            continue;
        }
        let source = fs::read_to_string(&path).map_err(|source| io_error(&path, source))?;
        sources.insert(name, source);
    }
    Ok(sources)
}

/// Compares the generated files with the committed ones. Committed sources that
/// no schema generates count as differences.
fn compare(generated: &BTreeMap<PathBuf, String>, folders: &[&Path]) -> Result<(), GenError> {
    let differs = |(path, content): &(&PathBuf, &String)| {
        fs::read_to_string(path).ok().as_ref() != Some(*content)
    };
    let mut files: Vec<String> =
        generated.iter().filter(differs).map(|(path, _)| path.display().to_string()).collect();
    for folder in folders {
        let committed = read_sources(folder)?.into_keys().map(|name| folder.join(name));
        let obsolete = committed.filter(|path| !generated.contains_key(path));
        files.extend(obsolete.map(|path| path.display().to_string()));
    }
    if files.is_empty() { Ok(()) } else { Err(GenError::Differs { files }) }
}

fn io_error(path: &Path, source: io::Error) -> GenError {
    GenError::Io { path: path.to_owned(), source }
}
