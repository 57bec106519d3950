//! Prints results to standard output and warnings to standard error.

use std::io::Write;

use camphorhold::protocol::control::Change;
use comfy_table::Table;
use comfy_table::presets;
use serde::Serialize;

use crate::error::Error;

/// Prints text followed by a line break.
pub fn line(text: &str) -> Result<(), Error> {
    writeln!(std::io::stdout(), "{text}")?;
    Ok(())
}

/// Prints a value as JSON over several lines.
pub fn json<T>(value: &T) -> Result<(), Error>
where
    T: Serialize,
{
    line(&serde_json::to_string_pretty(value)?)
}

/// Prints a table without borders.
pub fn table(header: &[&str], rows: Vec<Vec<String>>) -> Result<(), Error> {
    let mut table = Table::new();
    table
        .load_style(presets::NOTHING)
        .set_header(header.to_vec());
    table.add_rows(rows);
    for column in table.column_iter_mut() {
        column.set_padding((0, 2));
    }
    for text in table.to_string().lines() {
        line(text.trim_end())?;
    }
    Ok(())
}

/// Prints the differences between two files, one a line; `-` stands for an absent value.
pub fn changes(changes: &[Change]) -> Result<(), Error> {
    for change in changes {
        let old = change.old.as_deref().unwrap_or("-");
        let new = change.new.as_deref().unwrap_or("-");
        line(&format!("  {}: {old} -> {new}", change.path))?;
    }
    Ok(())
}

/// Returns the JSON name of a unit variant, with spaces in place of underscores.
pub fn name<T>(value: &T) -> String
where
    T: Serialize,
{
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(name)) => name.replace('_', " "),
        Ok(other) => other.to_string(),
        Err(error) => error.to_string(),
    }
}

/// Prints a warning to standard error.
pub fn warn(text: &str) {
    eprintln!("warning: {text}");
}
