//! `yarrowhill config check`, as an operator runs it.
#![cfg(feature = "routes")]

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str, files: &[(&str, &str)]) -> Self {
        let folder = std::env::temp_dir().join(format!("yarrowhill-config-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        files
            .iter()
            .for_each(|(file, text)| fs::write(folder.join(file), text).expect("the folder is writable"));
        Folder(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn check(path: &Path, extra_args: &[&str]) -> (Option<i32>, String) {
    let program = env!("CARGO_BIN_EXE_yarrowhill");
    let Output { status, stdout, stderr } = Command::new(program)
        .args(["config", "check"])
        .arg(path)
        .args(extra_args)
        .output()
        .expect("the program starts");
    (status.code(), String::from_utf8_lossy(&stdout).into_owned() + &String::from_utf8_lossy(&stderr))
}

#[test]
fn accepts_the_example_document() {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/routes");
    let (code, output) = check(&example, &[]);
    assert_eq!(code, Some(0), "{output}");
    assert!(output.contains("2 partners, 3 rules"), "{output}");
}

#[test]
fn reports_every_fault_of_every_fragment_with_its_location() {
    let partner = "partner \"a\" dest=1 {\n    pool \"x\"\n}\n";
    let rule = "rule \"r\" {\n    match partner=\"b\" colour=\"red\"\n    refuse wait=\"soon\"\n}\n";
    let folder = Folder::new("faults", &[("1.kdl", partner), ("2.kdl", rule), ("notes.txt", "not read")]);
    let (code, output) = check(&folder.0, &[]);
    assert_eq!(code, Some(1), "{output}");
    for part in ["2.kdl:2:11", "no partner \"b\"", "2.kdl:2:23", "colour", "2.kdl:3:12", "no wait"] {
        assert!(output.contains(part), "{part}: {output}");
    }
    let (code, output) = check(&folder.0, &["--json"]);
    let report: serde_json::Value = serde_json::from_str(&output).unwrap_or_else(|e| panic!("{e}: {output}"));
    assert_eq!(
        (code, report["faults"].as_array().map(Vec::len), report["faults"][0]["line"].as_u64()),
        (Some(1), Some(3), Some(2))
    );
}

#[test]
fn refuses_paths_that_are_missing_empty_or_not_text() {
    let folder = Folder::new("missing", &[]);
    for (path, expected) in [(folder.0.clone(), "no fragment"), (folder.0.join("none.kdl"), "cannot be read")]
    {
        let (code, output) = check(&path, &[]);
        assert!(code == Some(1) && output.contains(expected), "{code:?} {output}");
    }
    fs::write(folder.0.join("a.kdl"), [0xff, 0xfe, 0]).expect("the folder is writable");
    let (code, output) = check(&folder.0, &[]);
    assert!(code == Some(1) && output.contains("cannot be read"), "{code:?} {output}");
}
