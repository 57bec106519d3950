//! Tests of the stand-alone binaries.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use std::io::BufRead;
use std::io::BufReader;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::Value;

const BINARIES: [(&str, &str); 4] = [
    (env!("CARGO_BIN_EXE_standin-store"), "--listen"),
    (env!("CARGO_BIN_EXE_standin-backend"), "--admin"),
    (env!("CARGO_BIN_EXE_standin-instances"), "--listen"),
    (env!("CARGO_BIN_EXE_standin-balancer"), "--listen"),
];

/// Starts a binary and reads its ready line.
fn start(program: &str, arguments: &[&str]) -> (Child, Value) {
    let mut command = Command::new(program);
    command.args(arguments).stdout(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let mut line = String::new();
    let mut output = BufReader::new(child.stdout.take().unwrap());
    output.read_line(&mut line).unwrap();
    (child, serde_json::from_str(&line).unwrap())
}

fn stop(child: &mut Child, signal: Signal) -> Option<i32> {
    let id = Pid::from_raw(child.id().try_into().unwrap());
    kill(id, signal).unwrap();
    child.wait().unwrap().code()
}

/// Guards against binaries that ignore SIGTERM or SIGINT, so that scripts cannot stop them, and
/// against a second binary that does not report that its port is taken by the first one.
#[test]
fn binaries_report_a_taken_port_and_end_on_signals() {
    for (program, flag) in BINARIES {
        for signal in [Signal::SIGTERM, Signal::SIGINT] {
            let (mut child, ready) = start(program, &[]);
            let address = ready["address"].as_str().unwrap();
            let second = Command::new(program)
                .args([flag, address])
                .output()
                .unwrap();
            assert_eq!(second.status.code(), Some(2), "{program}");
            let message = String::from_utf8(second.stderr).unwrap();
            assert!(
                message.contains(&format!("cannot listen on {address}")),
                "{message}"
            );
            assert_eq!(stop(&mut child, signal), Some(0), "{program} {signal}");
        }
    }
}
