//! Tests of planned stops of an instance. The instances run as processes against the stand-ins of
//! the platform.

mod support;

use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use camphorhold_testutils::platform::leaf::Behaviour;
use hyper::StatusCode;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use support::Instance;
use support::Platform;
use support::exchange;
use support::exchange_within;
use support::program;
use support::wait_until;

/// Later than the load balancer may send new connections, and before the end of the grace period of
/// 6 s.
const LATE: Duration = Duration::from_millis(2_400);

/// Longer than the grace period lasts after [`LATE`].
const LONG_WAIT: Duration = Duration::from_secs(6);

/// Guards against requests that are cut off without an answer at the end of the grace period, among
/// them ones that must not be repeated.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_outlast_the_grace_period_get_a_final_answer() {
    let platform = Platform::start(&[("s1", "a"), ("s1", "b")]).await;
    let mut instance = Instance::start(&platform, "1", "a").await;
    for leaf in &platform.leafs {
        leaf.set_behaviour(Behaviour::Hang);
    }
    let mut kept = instance.connect().await;
    exchange_within(&mut kept, "first", "/once/x", Duration::from_millis(100))
        .await
        .unwrap();
    let mut new = instance.connect().await;
    instance.terminate();
    tokio::time::sleep(LATE).await;
    let (kept, new) = tokio::join!(
        exchange_within(&mut kept, "kept", "/once/x", LONG_WAIT),
        exchange_within(&mut new, "new", "/one/x", LONG_WAIT),
    );
    for answer in [kept, new] {
        // A leaf may have run them, so nothing is promised.
        let status = answer.expect("a final answer").status();
        assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
    }
    wait_until("the instance has ended", || {
        let code = instance.exit_code();
        std::future::ready(code == Some(0))
    })
    .await;
}

/// Guards against requests that are lost with their connections because the instance did not get to
/// run while the load balancer stopped sending connections.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_reach_a_stopping_instance_while_it_is_paused_are_answered() {
    let platform = Platform::start(&[("s1", "a"), ("s1", "b")]).await;
    let mut instance = Instance::start(&platform, "1", "a").await;
    let mut kept = instance.connect().await;
    exchange(&mut kept, "first", "/one/x").await.unwrap();
    let mut opened = instance.connect().await;
    instance.terminate();
    tokio::time::sleep(LATE).await;
    instance.freeze();
    // Waits in the queue of the listener.
    let mut new = instance.connect().await;
    let requests = async {
        tokio::join!(
            exchange(&mut kept, "kept", "/once/x"),
            exchange(&mut opened, "opened", "/one/x"),
            exchange(&mut new, "new", "/one/x"),
        )
    };
    let thaw = async {
        tokio::time::sleep(Duration::from_millis(900)).await;
        instance.thaw();
    };
    let ((kept, opened, new), ()) = tokio::join!(requests, thaw);
    for (name, answer) in [("kept", kept), ("opened", opened), ("new", new)] {
        assert!(answer.is_ok(), "{name}: {answer:?}");
    }
}

/// Guards against a process that a signal ends because it was sent right after the start, before
/// the settings were read and the log was set up.
#[tokio::test(flavor = "multi_thread")]
async fn a_signal_right_after_the_start_does_not_end_the_process() {
    let mut process = Command::new(program())
        .args(["--settings", "/dev/stdin"])
        .stdin(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    // The process waits for the settings now.
    wait_until("the handlers are installed", || {
        std::future::ready(handles(process.id(), Signal::SIGHUP))
    })
    .await;
    let id = Pid::from_raw(i32::try_from(process.id()).unwrap());
    kill(id, Signal::SIGHUP).unwrap();
    drop(process.stdin.take());
    let status = process.wait().unwrap();
    assert_eq!(status.code(), Some(2), "{status}: the settings are empty");
}

/// Returns whether a process has a handler for a signal.
fn handles(process: u32, signal: Signal) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
    let handled = u64::from_str_radix(line.unwrap_or("0").trim(), 16).unwrap_or(0);
    handled & (1 << (signal as u32 - 1)) != 0
}
