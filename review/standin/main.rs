//! Stand-ins and clients for the cases of this review. Uses the standard library only.

mod crossed;
mod flood;
mod http;
mod json;
mod limits;
mod platform;
mod poison;
mod stale;
mod traffic;

use std::process::Child;
use std::process::Command;
use std::sync::Mutex;

/// The processes that this program has started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Starts a process that [`cannot_run`] ends.
fn start(command: &mut Command) -> Child {
    let child = command.spawn().expect("the process starts");
    STARTED.lock().unwrap().push(child.id());
    child
}

/// Kills a process and waits for its end.
fn end(mut child: Child) {
    let _ = child.kill();
    let _ = child.wait();
    STARTED.lock().unwrap().retain(|id| *id != child.id());
}

/// Ends all started processes, and the program with the exit code of a case that could not run.
fn cannot_run() -> ! {
    for id in STARTED.lock().unwrap().iter() {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
    std::process::exit(2)
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("leaf") => platform::leaf_main(&arguments[1..]),
        Some("limits") => limits::main(),
        Some("crossed") => crossed::main(),
        Some("flood") => flood::main(),
        Some("stale") => stale::main(),
        Some("poison") => poison::main(),
        _ => {
            eprintln!("standin leaf|crossed|flood|limits|poison|stale ARGUMENT...");
            cannot_run();
        }
    }
}
