//! Prints the results of an experiment as tables and writes them to a file as JSON.

use std::fmt::Display;
use std::path::Path;

use serde::Serialize;

use crate::error::Error;
use crate::sample::Sample;
use crate::sample::reasons;

/// The most wrong answers whose errors are printed.
const MAX_VIOLATIONS: usize = 10;

/// A table of results. All cells are formatted text.
#[derive(Debug, Serialize)]
pub struct Table {
    title: String,
    columns: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

/// The results of an experiment, printed as they are added.
#[derive(Debug, Serialize)]
pub struct Report {
    experiment: String,
    settings: String,
    load_average: String,
    tables: Vec<Table>,
    targets: Vec<Target>,
}

/// A target, the measured figure and whether it meets the target.
#[derive(Debug, Serialize)]
struct Target {
    stated: String,
    measured: String,
    met: bool,
}

impl Table {
    /// Returns a table without rows.
    pub fn new(title: impl Into<String>, columns: &[&'static str]) -> Self {
        Self {
            title: title.into(),
            columns: columns.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Appends a row, with one cell for each column.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Prints the table in Markdown on standard output.
    pub fn print(&self) {
        let widths: Vec<usize> = (0..self.columns.len())
            .map(|column| {
                let cells = self.rows.iter().filter_map(|row| row.get(column));
                let widest = cells.map(|cell| cell.chars().count()).max();
                let head = self.columns[column].chars().count();
                widest.unwrap_or_default().max(head)
            })
            .collect();
        let line = |cells: &[String]| {
            let cells = cells.iter().zip(&widths);
            let cells: Vec<String> = cells
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect();
            println!("| {} |", cells.join(" | "));
        };
        println!("\n{}\n", self.title);
        let head: Vec<String> = self.columns.iter().map(ToString::to_string).collect();
        line(&head);
        let rule: Vec<String> = widths.iter().map(|width| "-".repeat(*width)).collect();
        line(&rule);
        for row in &self.rows {
            line(row);
        }
    }
}

impl Report {
    /// Prints the name and the settings of the experiment and returns a report without results.
    pub fn new(experiment: &str, settings: String) -> Self {
        println!("{experiment}: {settings}");
        Self {
            experiment: experiment.to_owned(),
            settings,
            load_average: load_average(),
            tables: Vec::new(),
            targets: Vec::new(),
        }
    }

    /// Prints a table and adds it to the report; a table without rows is dropped.
    pub fn table(&mut self, table: Table) {
        if table.rows.is_empty() {
            return;
        }
        table.print();
        self.tables.push(table);
    }

    /// Prints a target with the measured figure and adds both to the report.
    pub fn target(&mut self, target: impl Display, measured: impl Display, met: bool) {
        let verdict = if met { "met" } else { "MISSED" };
        println!("target {target}: {measured}: {verdict}");
        self.targets.push(Target {
            stated: target.to_string(),
            measured: measured.to_string(),
            met,
        });
    }

    /// Adds a table of the requests that were not answered and prints the errors of the first
    /// [`MAX_VIOLATIONS`] wrong answers.
    pub fn failures(&mut self, samples: &[Sample]) {
        let mut table = Table::new(
            "Requests that were not answered",
            &["outcome", "reason", "requests"],
        );
        for ((outcome, reason), count) in reasons(samples) {
            table.row(vec![
                format!("{outcome:?}"),
                reason.to_owned(),
                count.to_string(),
            ]);
        }
        self.table(table);
        let wrong = samples
            .iter()
            .filter_map(|sample| sample.violation.as_ref());
        for violation in wrong.take(MAX_VIOLATIONS) {
            println!("wrong answer: {violation}");
        }
    }

    /// Adds the load average at the end and writes the report to `path`, if there is one.
    pub fn finish(mut self, path: Option<&Path>) -> Result<(), Error> {
        let end = load_average();
        println!(
            "load average at the start {}, at the end {end}",
            self.load_average
        );
        self.load_average = format!("{} to {end}", self.load_average);
        if let Some(path) = path {
            std::fs::write(path, serde_json::to_vec_pretty(&self)?)?;
        }
        Ok(())
    }
}

/// Returns the load average of the machine over the last minute.
fn load_average() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next().unwrap_or("unknown");
    first.to_owned()
}
