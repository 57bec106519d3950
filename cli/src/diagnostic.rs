//! Shows the problems of a file with the lines that contain them.

use std::path::Path;

use camphorhold::state::file::File;
use camphorhold::state::file::Problem;
use miette::Diagnostic;
use miette::GraphicalReportHandler;
use miette::GraphicalTheme;
use miette::LabeledSpan;
use miette::NamedSource;
use miette::SourceCode;
use thiserror::Error;

use crate::error::Error;
use crate::output;

/// The width of the report text. Fixed, because files have short lines.
const WIDTH_COLUMNS: usize = 100;

#[derive(Debug, Error)]
#[error("{message}")]
struct ProblemReport<'a> {
    message: &'a str,
    source_code: &'a NamedSource<String>,
    start: usize,
    length: usize,
}

impl Diagnostic for ProblemReport<'_> {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(self.source_code)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = LabeledSpan::new(Some("here".into()), self.start, self.length);
        Some(Box::new(std::iter::once(label)))
    }
}

/// Reads and parses a file. Prints all problems of a file that is not valid.
pub fn read(path: &Path, json: bool) -> Result<(String, File), Error> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::File {
        path: path.into(),
        source,
    })?;
    match File::parse(&text) {
        Ok(file) => Ok((text, file)),
        Err(problems) => {
            print(path, &text, &problems, json)?;
            Err(Error::BadFile {
                problems: problems.len(),
            })
        }
    }
}

/// Prints problems: JSON to standard output, text to standard error.
pub fn print(path: &Path, text: &str, problems: &[Problem], json: bool) -> Result<(), Error> {
    if json {
        let problems = problems.iter().cloned();
        let problems: Vec<_> = problems
            .map(camphorhold::protocol::control::Problem::from)
            .collect();
        return output::json(&serde_json::json!({ "problems": problems }));
    }
    eprint!("{}", render(path, text, problems));
    Ok(())
}

fn render(path: &Path, text: &str, problems: &[Problem]) -> String {
    let source = NamedSource::new(path.display().to_string(), text.to_owned());
    let handler = GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor())
        .with_width(WIDTH_COLUMNS)
        .with_context_lines(1);
    let mut rendered = String::new();
    for problem in problems {
        let start = problem.span.start.min(text.len());
        let report = ProblemReport {
            message: &problem.message,
            source_code: &source,
            start,
            length: problem.span.end.clamp(start, text.len()) - start,
        };
        if handler.render_report(&mut rendered, &report).is_err() {
            rendered.push_str(&problem.message);
        }
        rendered.push('\n');
    }
    rendered
}
