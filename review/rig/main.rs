//! Stand-ins and checks of the review's cases: `rig CASE RECORD`. The variable `FOLDER` names an empty folder,
//! and `TROUBLE=0` leaves out the disruption. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

mod agent;
mod bus;
mod client;
mod crowd;
mod flood;
mod ids;
mod json;
mod platform;
mod record;
mod wire;

use record::Record;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The result of a case.
pub enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(&'static str),
}

/// Returns the settings of a small deployment with one class, `match`.
pub fn settings(effect: &str, not_loaded: &str) -> String {
    format!(
        r#"{{"fleetSize":3,"index":0,"zone":0,"zones":["hall-a"],"kinds":["std-4"],"tickNs":2000000,
"weightSource":"none","discovery":"pushed","loadInfo":{{"how":"none","names":[]}},
"classes":[{{"name":"match","objectiveNs":1200000000,"deadlineNs":3000000000,"effect":{effect},"group":"all",
"repeatWindowNs":10000000000,"worth":1.0,"lateShare":0.3}}],
"bounds":{{"mostTries":5,"mayCancel":true,"probes":false,"retryAfter":true,"maxRetryAfterNs":1000000000,"multiplex":32,
"maxOpen":20000,"idleCloseNs":30000000000,"connectTimeoutNs":250000000,"secondCopies":true}},
"contract":{{"coldFrom":0.16,"coldNs":17000000000,"fallMultiple":4.0,"fallNs":3000000000,"drainGraceNs":500000000,"graceToAnswerNs":8000000}},
"familyInfo":{{"keepNs":11000000000,"notLoaded":{not_loaded},"mayOrder":true,"loadSpanNs":0,"loadWaitNs":10000000000,"memoryMbByKind":[16960.0]}}}}"#
    )
    .replace('\n', "")
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: rig CASE RECORD");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(Path::new(path)) else {
        eprintln!("the record cannot be written");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder: PathBuf = std::env::var_os("FOLDER").map_or_else(std::env::temp_dir, PathBuf::from);
    let verdict = match case.as_str() {
        "flood" => flood::run(&record, &folder, trouble),
        "crowd" => crowd::run(&record, &folder, trouble),
        "ids" => ids::run(&record, &folder, trouble),
        _ => Verdict::CouldNotRun("unknown case"),
    };
    let status = match verdict {
        Verdict::Held => (0, "held".to_owned()),
        Verdict::Broken(why) => (1, format!("broken: {why}")),
        Verdict::CouldNotRun(why) => (2, format!("could not run: {why}")),
    };
    record.verdict(&status.1);
    ExitCode::from(status.0)
}
