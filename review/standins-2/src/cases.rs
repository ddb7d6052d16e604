//! The cases.

mod advised;
mod ends;
mod gang;
mod reborn;
mod wave;

use std::io;
use std::path::Path;

use crate::Outcome;

/// Plays a case.
pub fn play(name: &str, folder: &Path, has_trouble: bool) -> io::Result<Outcome> {
    match name {
        "advised" => advised::play(folder, has_trouble),
        "ends" => ends::play(folder, has_trouble),
        "wave" => wave::play(folder, has_trouble),
        "reborn" => reborn::play(folder, has_trouble),
        "gang" => gang::play(folder, has_trouble),
        other => Ok(Outcome::NotRun(format!("there is no case {other}"))),
    }
}
