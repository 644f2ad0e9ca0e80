//! Routing documents on disk: a file, or a folder of fragments, which are read in the order of their names.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use yarrowhill_routes::{Diagnostic, Location, MAX_FILE_BYTES, Routes, parse};

/// Prints a summary of a document, or every fault of it.
pub fn check(path: &Path, json: bool) -> ExitCode {
    let result = read(path);
    let faults = result.as_ref().err().map(Vec::as_slice).unwrap_or_default();
    if json {
        let to_json = |fault: &Diagnostic| {
            let Diagnostic { location: Location { file, line, column }, problem, remedy } = fault;
            serde_json::json!({
                "file": file, "line": line, "column": column, "what": problem, "remedy": remedy
            })
        };
        println!("{}", serde_json::json!({"faults": faults.iter().map(to_json).collect::<Vec<_>>()}));
    } else {
        faults.iter().for_each(|fault| eprintln!("{fault}"));
    }
    match result {
        Ok(routes) if !json => {
            println!(
                "{}: {} partners, {} rules, no faults",
                path.display(),
                routes.partners.len(),
                routes.rules.len()
            );
            ExitCode::SUCCESS
        }
        Ok(_) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}

/// Reads the document at a path.
///
/// # Errors
///
/// Returns every fault of the document, or the files that cannot be read. A folder without a fragment is a
/// fault.
pub fn read(path: &Path) -> Result<Routes, Vec<Diagnostic>> {
    let files = fragments(path).map_err(|e| vec![read_error(path, &e)])?;
    if files.is_empty() {
        return Err(vec![Diagnostic {
            location: file_location(path),
            problem: "no fragment in this folder".into(),
            remedy: "add a file whose name ends in .kdl".into(),
        }]);
    }
    let texts = files.into_iter().map(|file| read_text(&file).map(|text| (file.display().to_string(), text)));
    // The rest is not checked without the unreadable fragments: it may refer to them.
    let (texts, unreadable): (Vec<_>, Vec<_>) = texts.partition(Result::is_ok);
    let unreadable: Vec<Diagnostic> = unreadable.into_iter().filter_map(Result::err).collect();
    if !unreadable.is_empty() {
        return Err(unreadable);
    }
    parse(&texts.into_iter().filter_map(Result::ok).collect::<Vec<_>>())
}

fn fragments(path: &Path) -> io::Result<Vec<PathBuf>> {
    if !fs::metadata(path)?.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let entries = fs::read_dir(path)?.map(|entry| entry.map(|e| e.path())).collect::<io::Result<Vec<_>>>()?;
    let mut files: Vec<_> =
        entries.into_iter().filter(|f| f.extension().is_some_and(|e| e == "kdl")).collect();
    files.sort();
    Ok(files)
}

/// Reads a fragment. A file above the maximum size is not loaded into memory.
fn read_text(file: &Path) -> Result<String, Diagnostic> {
    let len = fs::metadata(file).map_err(|e| read_error(file, &e))?.len();
    if len > MAX_FILE_BYTES as u64 {
        return Err(Diagnostic {
            location: file_location(file),
            problem: format!("file too large: {len} bytes, the maximum is {MAX_FILE_BYTES}"),
            remedy: "split it into fragments".into(),
        });
    }
    fs::read_to_string(file).map_err(|e| read_error(file, &e))
}

fn read_error(path: &Path, e: &io::Error) -> Diagnostic {
    Diagnostic {
        location: file_location(path),
        problem: format!("cannot be read: {e}"),
        remedy: "check that it exists, is readable and is UTF-8 text".into(),
    }
}

/// Returns the location of a fault that concerns the complete file.
fn file_location(path: &Path) -> Location {
    Location { file: path.display().to_string(), ..Location::default() }
}
