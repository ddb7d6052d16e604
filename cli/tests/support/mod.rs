//! Runs the command line tool against fake or real servers.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub(crate) mod admin;
pub(crate) mod callers;
pub(crate) mod daemons;
#[path = "../../../daemon/tests/support/stalls.rs"]
pub(crate) mod stalls;

use std::path::PathBuf;

/// Operators' token that the daemons accept.
pub(crate) const TOKEN: &str = "operators-secret";

/// Builder of one run of the tool.
pub(crate) struct ToolRun {
    arguments: Vec<String>,
    environment: Vec<(&'static str, String)>,
    replacements: Vec<(String, &'static str)>,
}

impl ToolRun {
    /// Prepares a run with the whitespace-separated `arguments`.
    pub(crate) fn new(arguments: &str) -> Self {
        let arguments = arguments.split_whitespace().map(str::to_owned).collect();
        let environment = vec![("COWSLIPPORT_AUTHOR", "ana".to_owned())];
        Self { arguments, environment, replacements: Vec::new() }
    }

    /// Sets the server `address` and the operators' token.
    pub(crate) fn operator(self, address: &str) -> Self {
        self.env("COWSLIPPORT_SERVER", address)
            .env("COWSLIPPORT_TOKEN", TOKEN)
            .replace_in_output(address, "[server]")
    }

    /// Sets an environment variable.
    pub(crate) fn env(mut self, name: &'static str, value: &str) -> Self {
        self.environment.retain(|(other, _)| *other != name);
        self.environment.push((name, value.to_owned()));
        self
    }

    /// Replaces `text`, which differs from run to run, by `name` in the output.
    pub(crate) fn replace_in_output(mut self, text: &str, name: &'static str) -> Self {
        self.replacements.push((text.to_owned(), name));
        self
    }

    /// Adds the path of `file` as an argument.
    pub(crate) fn file(mut self, file: &TempFile) -> Self {
        self.arguments.push(file.path.display().to_string());
        let directory = file.directory.path().display().to_string();
        self.replace_in_output(&directory, "[folder]")
    }

    /// Runs the tool and returns its exit status, standard output and standard
    /// error as one text.
    pub(crate) fn output(self) -> String {
        #[expect(clippy::disallowed_types, reason = "the test starts the tool that it tests")]
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_cowslipport"))
            .args(&self.arguments)
            .env_clear()
            .envs(self.environment.iter().map(|(name, value)| (*name, value)))
            .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/.."))
            .output()
            .expect("the tool starts");
        let status = output.status.code().expect("the tool exits without a signal");
        let stdout = String::from_utf8(output.stdout).expect("the output is UTF-8");
        let stderr = String::from_utf8(output.stderr).expect("the output is UTF-8");
        let mut text = format!("status {status}\n-- stdout\n{stdout}-- stderr\n{stderr}");
        assert!(!text.contains(TOKEN), "the token is in the output: {text}");
        for (original, name) in &self.replacements {
            text = text.replace(original, name);
        }
        text
    }
}

/// File in a temporary directory of its own, which is removed when the value is
/// dropped.
pub(crate) struct TempFile {
    directory: tempfile::TempDir,
    /// Path of the file.
    pub(crate) path: PathBuf,
}

impl TempFile {
    /// Writes `content` to a file called `name`.
    pub(crate) fn new(name: &str, content: &[u8]) -> Self {
        let directory = tempfile::tempdir().expect("a temporary directory can be created");
        let path = directory.path().join(name);
        std::fs::write(&path, content).expect("the file can be written");
        Self { directory, path }
    }
}

/// Reads the manifest of the small example.
pub(crate) fn demo_manifest() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples/demo.toml");
    std::fs::read_to_string(path).expect("the example exists")
}
