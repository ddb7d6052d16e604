//! Plays one case of the review: stand-ins for the platform, its minions and
//! its consumers, and nodes as processes.
//!
//! Usage: review-standin CASE RECORD, in the root of the repository. With
//! `TROUBLE=0` in the environment the disruption is left out. Exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod http;
mod json;
mod machines;
mod minion;
mod nodes;
mod record;
mod store;
mod world;

use std::path::Path;
use std::process::ExitCode;

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: review-standin CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let play = match case.as_str() {
        "same-epoch" => cases::same_epoch,
        "same-id" => cases::same_id,
        "stale-orders" => cases::stale_orders,
        "lost-moves" => cases::lost_moves,
        "large-job" => cases::large_job,
        "tenant-limit" => cases::tenant_limit,
        _ => {
            eprintln!("unknown case {case}");
            return ExitCode::from(2);
        }
    };
    match play(Path::new(record), has_trouble) {
        Outcome::Held => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Outcome::Broken => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Outcome::NotRun(reason) => {
            println!("the case could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
