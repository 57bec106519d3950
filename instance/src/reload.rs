//! The settings file of a running instance, which changes with a signal or without.

use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::SystemTime;

use camphorhold_platform::settings::Settings;

use crate::shared::Shared;

/// The settings file, and the state in which it was read last.
pub struct SettingsFile {
    shared: Rc<Shared>,
    path: PathBuf,
    // When the file was written; only compared with itself.
    modified: Option<SystemTime>,
}

impl SettingsFile {
    /// Creates the state of a file that was read at the start.
    pub fn new(shared: Rc<Shared>, path: &Path) -> Self {
        Self {
            shared,
            modified: modified(path),
            path: path.to_owned(),
        }
    }

    /// Reads the file if it was written since the last look.
    pub fn read_if_changed(&mut self) {
        let modified = modified(&self.path);
        if modified.is_some() && modified != self.modified {
            self.read();
        }
    }

    /// Reads the file and puts its bounds in force. Names and addresses hold for the life of a
    /// process. A file that cannot be used changes nothing.
    pub fn read(&mut self) {
        self.modified = modified(&self.path);
        let settings = match Settings::read(&self.path) {
            Ok(settings) => settings,
            Err(error) => {
                log::error!(error:% = error; "settings not usable, the old ones stay");
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
            "settings read"
        );
        if others_changed {
            log::warn!("names and addresses in the settings take effect at the next start");
        }
    }
}

/// Returns when the file was written. A file that is missing for a moment is looked at again.
fn modified(path: &Path) -> Option<SystemTime> {
    let metadata = std::fs::metadata(path).ok()?;
    metadata.modified().ok()
}
