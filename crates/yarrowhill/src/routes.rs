//! Routing documents on disk: a file, or a folder of fragments that are read in the order of their names.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use yarrowhill_routes::{Diagnostic, Location, MAX_FILE_BYTES, Routes, parse};

/// Tells what a document holds, or every fault of it.
pub fn check(path: &Path, json: bool) -> ExitCode {
    let read = read_at(path);
    let faults = read.as_ref().err().map(Vec::as_slice).unwrap_or_default();
    if json {
        let fault = |f: &Diagnostic| {
            let Diagnostic { location: Location { file, line, column }, problem: what, remedy } = f;
            serde_json::json!({"file": file, "line": line, "column": column, "what": what, "remedy": remedy})
        };
        println!("{}", serde_json::json!({"faults": faults.iter().map(fault).collect::<Vec<_>>()}));
    } else {
        faults.iter().for_each(|fault| eprintln!("{fault}"));
    }
    match read {
        Ok(routes) if !json => {
            println!(
                "{}: {} partners, {} rules, no fault",
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
/// Every fault of it; also what can't be read. A folder without a fragment is a fault.
pub fn read_at(path: &Path) -> Result<Routes, Vec<Diagnostic>> {
    let files = fragments(path).map_err(|e| vec![unread(path, &e)])?;
    if files.is_empty() {
        let what = "no fragment stands in this folder".to_owned();
        return Err(vec![Diagnostic {
            location: whole(path),
            problem: what,
            remedy: "add a file that ends in .kdl".into(),
        }]);
    }
    let texts = files.into_iter().map(|file| text(&file).map(|text| (file.display().to_string(), text)));
    // What stands in the rest can't be judged without the missing part.
    let (texts, missing): (Vec<_>, Vec<_>) = texts.partition(Result::is_ok);
    let missing: Vec<Diagnostic> = missing.into_iter().filter_map(Result::err).collect();
    if !missing.is_empty() {
        return Err(missing);
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

/// A text that is far too long is not taken into memory first.
fn text(file: &Path) -> Result<String, Diagnostic> {
    let len = fs::metadata(file).map_err(|e| unread(file, &e))?.len();
    if len > MAX_FILE_BYTES as u64 {
        let what = format!("{len} bytes, and {MAX_FILE_BYTES} are the most");
        return Err(Diagnostic {
            location: whole(file),
            problem: what,
            remedy: "cut it into fragments".into(),
        });
    }
    fs::read_to_string(file).map_err(|e| unread(file, &e))
}

fn unread(path: &Path, e: &io::Error) -> Diagnostic {
    Diagnostic {
        location: whole(path),
        problem: format!("can't be read: {e}"),
        remedy: "see that it is there and is text".into(),
    }
}

fn whole(path: &Path) -> Location {
    Location { file: path.display().to_string(), ..Location::default() }
}
