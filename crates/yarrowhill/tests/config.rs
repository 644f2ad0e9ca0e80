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
        files.iter().for_each(|(file, text)| fs::write(folder.join(file), text).expect("it is writable"));
        Folder(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn check(path: &Path, more: &[&str]) -> (Option<i32>, String) {
    let program = env!("CARGO_BIN_EXE_yarrowhill");
    let Output { status, stdout, stderr } =
        Command::new(program).args(["config", "check"]).arg(path).args(more).output().expect("it starts");
    (status.code(), String::from_utf8_lossy(&stdout).into_owned() + &String::from_utf8_lossy(&stderr))
}

#[test]
fn the_example_has_no_fault() {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/routes");
    let (code, said) = check(&example, &[]);
    assert_eq!(code, Some(0), "{said}");
    assert!(said.contains("2 partners, 3 rules"), "{said}");
}

#[test]
fn every_fault_of_every_fragment_is_told_with_its_place() {
    let partner = "partner \"a\" dest=1 {\n    pool \"x\"\n}\n";
    let rule = "rule \"r\" {\n    match partner=\"b\" colour=\"red\"\n    refuse wait=\"soon\"\n}\n";
    let folder = Folder::new("faults", &[("1.kdl", partner), ("2.kdl", rule), ("notes.txt", "not read")]);
    let (code, said) = check(&folder.0, &[]);
    assert_eq!(code, Some(1), "{said}");
    for part in ["2.kdl:2:11", "no partner \"b\"", "2.kdl:2:23", "colour", "2.kdl:3:12", "no wait"] {
        assert!(said.contains(part), "{part}: {said}");
    }
    let (code, said) = check(&folder.0, &["--json"]);
    let told: serde_json::Value = serde_json::from_str(&said).unwrap_or_else(|e| panic!("{e}: {said}"));
    assert_eq!(
        (code, told["faults"].as_array().map(Vec::len), told["faults"][0]["line"].as_u64()),
        (Some(1), Some(3), Some(2))
    );
}

#[test]
fn what_is_missing_or_no_text_is_refused() {
    let folder = Folder::new("missing", &[]);
    for (path, word) in [(folder.0.clone(), "no fragment"), (folder.0.join("none.kdl"), "can't be read")] {
        let (code, said) = check(&path, &[]);
        assert!(code == Some(1) && said.contains(word), "{code:?} {said}");
    }
    fs::write(folder.0.join("a.kdl"), [0xff, 0xfe, 0]).expect("it is writable");
    let (code, said) = check(&folder.0, &[]);
    assert!(code == Some(1) && said.contains("can't be read"), "{code:?} {said}");
}
