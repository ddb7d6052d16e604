//! Runs one case of review 3: `review-rig-3 CASE FOLDER`. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod deployment;
mod http;
mod minion;
mod record;
mod store;

mod avoided;
mod counts;
mod reborn;
mod unrecorded;

use std::path::Path;
use std::process::ExitCode;

use crate::record::Record;

/// What a run has shown.
pub struct Verdict {
    pub is_broken: bool,
    pub text: String,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-rig-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = Path::new(&folder).canonicalize().expect("the folder of the case");
    let root = folder.parent().and_then(Path::parent).expect("the repository").to_owned();
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&folder.join("record.txt"));
    record.line(&format!("case {case}, with the disruption: {is_troubled}"));
    let run = match case.as_str() {
        "reborn" => reborn::run,
        "counts" => counts::run,
        "avoided" => avoided::run,
        "unrecorded" => unrecorded::run,
        _ => {
            eprintln!("unknown case");
            return ExitCode::from(2);
        }
    };
    match run(&root, &record, is_troubled) {
        Ok(verdict) => {
            record.line(&verdict.text);
            println!("{}", verdict.text);
            ExitCode::from(u8::from(verdict.is_broken))
        }
        Err(error) => {
            record.line(&format!("the case could not run: {error}"));
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
