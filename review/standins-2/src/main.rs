//! The cases of the second review that are scripts. `review-2 CASE FOLDER` plays a
//! case, writes `record.txt` into the folder, and exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment it leaves the disruption out.

mod advice;
mod cases;
mod http;
mod json;
mod minion;
mod node;
mod record;
mod store;
mod world;

use std::path::Path;
use std::process::ExitCode;

/// Outcome of a case.
pub enum Outcome {
    Broken,
    Held,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder] = &arguments[..] else {
        eprintln!("usage: review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let outcome = match cases::play(name, Path::new(folder), has_trouble) {
        Ok(outcome) => outcome,
        Err(error) => Outcome::NotRun(error.to_string()),
    };
    match outcome {
        Outcome::Broken => ExitCode::from(1),
        Outcome::Held => ExitCode::SUCCESS,
        Outcome::NotRun(reason) => {
            eprintln!("the case could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
