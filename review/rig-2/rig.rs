//! The cases of the second review: `rig CASE ROOT FOLDER`. Exit status: 0 the rule held, 1 it was broken, 2 no run.

#[allow(dead_code)]
mod common;
mod half_requests;
mod memory_limit;
mod starved_client;

fn main() {
    let (case, setup) = common::Setup::from_arguments();
    let broken = match case.as_str() {
        "memory-limit" => memory_limit::run(&setup),
        "half-requests" => half_requests::run(&setup),
        "starved-client" => starved_client::run(&setup),
        _ => common::cannot_run("no such case"),
    };
    setup.record.say(if broken { "the rule was broken" } else { "the rule held" });
    common::remove_folder();
    std::process::exit(i32::from(broken))
}
