//! Runs the command line tool, and fakes the servers that it calls.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod admin;
pub(crate) mod callers;
pub(crate) mod daemons;

use std::path::PathBuf;

/// Token that the fake daemon accepts.
pub(crate) const TOKEN: &str = "operators-secret";

/// A run of the tool.
pub(crate) struct Run {
    arguments: Vec<String>,
    environment: Vec<(&'static str, String)>,
    hidden: Vec<(String, &'static str)>,
}

impl Run {
    /// Runs with the words of `arguments`.
    pub(crate) fn new(arguments: &str) -> Self {
        let arguments = arguments.split_whitespace().map(str::to_owned).collect();
        let environment = vec![("COWSLIPPORT_AUTHOR", "ana".to_owned())];
        Self { arguments, environment, hidden: Vec::new() }
    }

    /// Calls the daemon at `address` as an operator.
    pub(crate) fn operator(self, address: &str) -> Self {
        self.env("COWSLIPPORT_SERVER", address)
            .env("COWSLIPPORT_TOKEN", TOKEN)
            .hide(address, "[server]")
    }

    /// Sets an environment variable.
    pub(crate) fn env(mut self, name: &'static str, value: &str) -> Self {
        self.environment.retain(|(other, _)| *other != name);
        self.environment.push((name, value.to_owned()));
        self
    }

    /// Replaces what differs from run to run in the output.
    pub(crate) fn hide(mut self, text: &str, name: &'static str) -> Self {
        self.hidden.push((text.to_owned(), name));
        self
    }

    /// Adds the path of `file` as an argument.
    pub(crate) fn file(mut self, file: &ScratchFile) -> Self {
        self.arguments.push(file.path.display().to_string());
        let folder = file.folder.path().display().to_string();
        self.hide(&folder, "[folder]")
    }

    /// Exit status, output and errors as one text.
    pub(crate) fn output(self) -> String {
        #[expect(clippy::disallowed_types, reason = "the test starts the tool that it tests")]
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_cowslipport"))
            .args(&self.arguments)
            .env_clear()
            .envs(self.environment.iter().map(|(name, value)| (*name, value)))
            .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/.."))
            .output()
            .expect("the tool starts");
        let status = output.status.code().expect("the tool ends by itself");
        let stdout = String::from_utf8(output.stdout).expect("the output is UTF-8");
        let stderr = String::from_utf8(output.stderr).expect("the output is UTF-8");
        let mut text = format!("status {status}\n-- stdout\n{stdout}-- stderr\n{stderr}");
        assert!(!text.contains(TOKEN), "the token is in the output: {text}");
        for (hidden, name) in &self.hidden {
            text = text.replace(hidden, name);
        }
        text
    }
}

/// A file in a folder of its own, which goes with it.
pub(crate) struct ScratchFile {
    folder: tempfile::TempDir,
    /// Where the file is.
    pub(crate) path: PathBuf,
}

impl ScratchFile {
    /// Writes `content` to a file of this name.
    pub(crate) fn new(name: &str, content: &[u8]) -> Self {
        let folder = tempfile::tempdir().expect("a folder can be made");
        let path = folder.path().join(name);
        std::fs::write(&path, content).expect("the file can be written");
        Self { folder, path }
    }
}

/// The manifest of the small example.
pub(crate) fn demo_manifest() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples/demo.toml");
    std::fs::read_to_string(path).expect("the example exists")
}
