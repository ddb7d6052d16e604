//! Reads credentials from the sources in the settings.

use std::env;
use std::fs;
use std::io;
use std::path::PathBuf;

use cowslipport_lib::settings::CredentialSource;

/// Why a credential cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum CredentialError {
    /// The file cannot be read.
    #[error("cannot read the token file {}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The environment variable is not set.
    #[error("environment variable {name} with the token is not set")]
    Environment {
        /// Name of the variable.
        name: String,
    },
    /// The credential is empty.
    #[error("the token from {source_name} is empty")]
    Empty {
        /// Path of the file or name of the variable.
        source_name: String,
    },
}

/// Reads a credential.
pub fn read(source: &CredentialSource) -> Result<String, CredentialError> {
    let (text, source_name) = match source {
        CredentialSource::File(path) => {
            let text = fs::read_to_string(path)
                .map_err(|source| CredentialError::File { path: path.clone(), source })?;
            (text, path.display().to_string())
        }
        CredentialSource::Environment(name) => {
            let text =
                env::var(name).map_err(|_| CredentialError::Environment { name: name.clone() })?;
            (text, name.clone())
        }
    };
    let token = text.trim_end().to_owned();
    if token.is_empty() { Err(CredentialError::Empty { source_name }) } else { Ok(token) }
}
