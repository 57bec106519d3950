//! `check`: checks a file without sending it to an instance.

use std::path::Path;

use crate::arguments::Global;
use crate::diagnostic;
use crate::error::Error;
use crate::error::Exit;
use crate::output;

pub fn run(global: &Global, path: &Path) -> Result<Exit, Error> {
    let (_, file) = diagnostic::read(path, global.json)?;
    let (services, leafs) = (file.services.len(), file.leafs().count());
    let rollouts = file.rollouts.len();
    if global.json {
        let summary = serde_json::json!({
            "problems": [],
            "system": file.system,
            "services": services,
            "leafs": leafs,
            "rollouts": rollouts,
        });
        output::json(&summary)?;
    } else {
        output::line(&format!(
            "{}: valid, {services} services, {leafs} leafs, {rollouts} rollouts",
            path.display()
        ))?;
    }
    Ok(Exit::Done)
}
