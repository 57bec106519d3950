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

/// Ends the program with the exit code of a case that could not run.
pub fn cannot_run() -> ! {
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
