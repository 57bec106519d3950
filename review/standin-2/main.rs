//! The cases of the second review that are scripts: stand-ins for clients, leafs and the platform's
//! store, which start instances as processes. Only the standard library is used.

mod cases;
mod client;
mod http;
mod instance;
mod json;
mod leaf;
mod record;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::run(&name, &PathBuf::from(folder), trouble) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
