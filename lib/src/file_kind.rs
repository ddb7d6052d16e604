//! Distinguishes manifests from settings by their content.

use toml::de::DeTable;

/// Kind of a TOML file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// Configuration of a fleet.
    Manifest,
    /// Settings of one daemon.
    Settings,
}

const SETTINGS_KEYS: [&str; 7] =
    ["name", "listen", "platform", "peers", "credentials", "limits", "logging"];

impl FileKind {
    /// Detects the kind of a file from its `text`. A text without any
    /// top-level key of settings counts as a manifest. Syntax errors are
    /// ignored.
    pub fn detect(text: &str) -> Self {
        let (table, _) = DeTable::parse_recoverable(text);
        if SETTINGS_KEYS.iter().any(|key| table.get_ref().contains_key(*key)) {
            Self::Settings
        } else {
            Self::Manifest
        }
    }
}
