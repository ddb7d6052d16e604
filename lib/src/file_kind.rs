//! Tells manifests and settings apart by their content.

use toml::de::DeTable;

/// What a TOML file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// The configuration of a fleet.
    Manifest,
    /// Settings of one daemon.
    Settings,
}

const SETTINGS_KEYS: [&str; 7] =
    ["name", "listen", "platform", "peers", "credentials", "limits", "logging"];

impl FileKind {
    /// The kind of a file that holds `text`. A text without a key of settings
    /// counts as a manifest. Syntax errors are passed over.
    pub fn detect(text: &str) -> Self {
        let (table, _) = DeTable::parse_recoverable(text);
        if SETTINGS_KEYS.iter().any(|key| table.get_ref().contains_key(*key)) {
            Self::Settings
        } else {
            Self::Manifest
        }
    }
}
