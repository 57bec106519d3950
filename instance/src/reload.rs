//! Reloads the settings file of a running instance, on SIGHUP and when the file changes.

use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::SystemTime;

use camphorhold_platform::settings::Settings;

use crate::shared::Shared;

/// The settings file, and its modification time when it was last read.
pub struct SettingsFile {
    shared: Rc<Shared>,
    path: PathBuf,
    // Only compared for equality.
    modified: Option<SystemTime>,
}

impl SettingsFile {
    /// Starts watching a file that was read at the start of the process.
    pub fn new(shared: Rc<Shared>, path: &Path) -> Self {
        Self {
            shared,
            modified: modified(path),
            path: path.to_owned(),
        }
    }

    /// Reads the file if its modification time has changed since it was last read. Does nothing
    /// while the file is missing.
    pub fn read_if_changed(&mut self) {
        let modified = modified(&self.path);
        if modified.is_some() && modified != self.modified {
            self.read();
        }
    }

    /// Reads the file and applies its bounds. Names and addresses take effect only at a restart. An
    /// invalid file changes nothing.
    pub fn read(&mut self) {
        self.modified = modified(&self.path);
        let settings = match Settings::read(&self.path) {
            Ok(settings) => settings,
            Err(error) => {
                log::error!(error:% = error; "cannot read the settings file; keeping the current settings");
                return;
            }
        };
        let before = self.shared.bounds.get();
        let bounds = settings.bounds;
        self.shared.set_bounds(bounds);
        let bounds_changed = bounds != before;
        let others_changed = Settings {
            bounds,
            ..self.shared.settings.clone()
        } != settings;
        log::info!(
            bounds_changed = bounds_changed,
            bounds:? = bounds,
            others_changed = others_changed;
            "settings file read; its bounds are in force"
        );
        if others_changed {
            log::warn!(
                "settings other than the bounds changed; they take effect at the next start"
            );
        }
    }
}

/// Returns the modification time of a file, or `None` if it cannot be read, for instance while the
/// file is being replaced.
fn modified(path: &Path) -> Option<SystemTime> {
    let metadata = std::fs::metadata(path).ok()?;
    metadata.modified().ok()
}
