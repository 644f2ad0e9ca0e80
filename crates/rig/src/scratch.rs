//! Builds the program with a bug planted: a scratch copy of the workspace, a patch, a build of its own.

use crate::bugs::Bug;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// Why a bug can't be planted.
#[derive(Debug, thiserror::Error)]
pub enum ScratchBuildError {
    /// A file of the copy can't be had.
    #[error("{0}: {1}")]
    Io(PathBuf, #[source] io::Error),
    /// The patch is no patch.
    #[error("{0}: its patch can't be read: {1}")]
    Patch(&'static str, String),
    /// The patch does not fit the text that it is for.
    #[error("{bug}: its patch does not fit {file}: {why}")]
    Fit {
        /// The bug.
        bug: &'static str,
        /// The file.
        file: String,
        /// What does not fit.
        why: String,
    },
    /// It does not build.
    #[error("{0}: it does not build")]
    Build(String),
    /// The repository has no such commit, or git is not to be had.
    #[error("{0}: no such commit")]
    Commit(String),
}

fn at(path: &Path) -> impl FnOnce(io::Error) -> ScratchBuildError + '_ {
    |e| ScratchBuildError::Io(path.into(), e)
}

/// The workspace's root.
fn root() -> PathBuf {
    let here = Path::new(env!("CARGO_MANIFEST_DIR"));
    here.ancestors().nth(2).unwrap_or(here).to_path_buf()
}

/// The files that a bug's patch changes, with their text after it. Nothing is written.
///
/// # Errors
///
/// The patch does not fit.
pub fn patched_files(bug: Bug) -> Result<BTreeMap<PathBuf, String>, ScratchBuildError> {
    let mut texts = BTreeMap::new();
    for part in bug.patch().split_inclusive('\n').fold(Vec::<String>::new(), by_file) {
        let unread = |why: String| ScratchBuildError::Patch(bug.name(), why);
        let patch = diffy::Patch::from_str(&part).map_err(|e| unread(e.to_string()))?;
        let name = patch.original().ok_or_else(|| unread("it names no file".into()))?;
        let name = name.strip_prefix("a/").unwrap_or(name).to_owned();
        let path = root().join(&name);
        let text = fs::read_to_string(&path).map_err(at(&path))?;
        let fitted = diffy::apply(&text, &patch);
        let text = fitted.map_err(|e| ScratchBuildError::Fit {
            bug: bug.name(),
            file: name.clone(),
            why: e.to_string(),
        })?;
        texts.insert(PathBuf::from(name), text);
    }
    Ok(texts)
}

/// A diff of several files, cut where the next one begins.
fn by_file(mut parts: Vec<String>, line: &str) -> Vec<String> {
    if line.starts_with("--- ") || parts.is_empty() {
        parts.push(String::new());
    }
    if let Some(part) = parts.last_mut() {
        part.push_str(line);
    }
    parts
}

/// The scratch copy, held by one process at a time. Between two bugs only what differs is written, so that only that
/// is built anew.
#[derive(Debug)]
pub struct ScratchBuild {
    folder: PathBuf,
    _lock: File,
}

impl ScratchBuild {
    /// Takes it, once whoever holds it has done.
    ///
    /// # Errors
    ///
    /// The folder can't be made.
    pub fn open() -> Result<Self, ScratchBuildError> {
        let folder = root().join("target/bugs");
        fs::create_dir_all(folder.join("bin")).map_err(at(&folder))?;
        let path = folder.join("lock");
        let lock = File::create(&path).map_err(at(&path))?;
        lock.lock().map_err(at(&path))?;
        Ok(ScratchBuild { folder, _lock: lock })
    }

    /// The program with a bug planted.
    ///
    /// # Errors
    ///
    /// The patch does not fit, or what comes of it does not build.
    pub fn build(&self, bug: Bug) -> Result<PathBuf, ScratchBuildError> {
        let mut patched = patched_files(bug)?;
        let mut wanted = Vec::new();
        for name in ["Cargo.toml", "Cargo.lock", "crates"] {
            files(&root(), Path::new(name), &mut wanted)?;
        }
        let mut texts = Vec::new();
        for name in wanted {
            let from = root().join(&name);
            let text = match patched.remove(&name) {
                Some(text) => text.into_bytes(),
                None => fs::read(&from).map_err(at(&from))?,
            };
            texts.push((name, text));
        }
        self.lay(texts)?;
        let to = self.folder.join("bin").join(bug.name());
        self.cargo(bug.name(), "yarrowhill-rig", "yarrowhill-faulty", &to)?;
        Ok(to)
    }

    /// The program as it was at a commit of this repository.
    ///
    /// # Errors
    ///
    /// There is no such commit, or it does not build.
    pub fn build_commit(&self, commit: &str) -> Result<PathBuf, ScratchBuildError> {
        let git = |args: &[&str]| -> Result<Vec<u8>, ScratchBuildError> {
            let done = Command::new("git").args(args).current_dir(root()).output().map_err(at(&root()))?;
            if done.status.success() {
                Ok(done.stdout)
            } else {
                Err(ScratchBuildError::Commit(commit.to_owned()))
            }
        };
        let names = git(&["ls-tree", "-r", "--name-only", commit, "Cargo.toml", "Cargo.lock", "crates"])?;
        let names = String::from_utf8_lossy(&names).into_owned();
        let mut texts = Vec::new();
        for name in names.lines() {
            texts.push((PathBuf::from(name), git(&["show", &format!("{commit}:{name}")])?));
        }
        self.lay(texts)?;
        let to = self.folder.join("bin").join(format!("before-{commit}"));
        self.cargo("the build before", "yarrowhill-rig", "yarrowhill-faulty", &to)?;
        Ok(to)
    }

    /// Makes the tree hold these files and no others. Only what differs is written, so that only that is built anew.
    fn lay(&self, texts: Vec<(PathBuf, Vec<u8>)>) -> Result<(), ScratchBuildError> {
        let tree = self.folder.join("tree");
        for (name, text) in &texts {
            let to = tree.join(name);
            if fs::read(&to).is_ok_and(|old| old == *text) {
                continue;
            }
            to.parent().map_or(Ok(()), fs::create_dir_all).map_err(at(&to))?;
            fs::write(&to, text).map_err(at(&to))?;
        }
        let mut there = Vec::new();
        files(&tree, Path::new("crates"), &mut there)?;
        for name in there.iter().filter(|name| !texts.iter().any(|(wanted, _)| wanted == *name)) {
            let path = tree.join(name);
            fs::remove_file(&path).map_err(at(&path))?;
            // A package's empty folder would be a member of the workspace without a manifest.
            let emptied = path.ancestors().skip(1).take_while(|folder| *folder != tree);
            let _ = emptied.map(fs::remove_dir).take_while(Result::is_ok).count();
        }
        Ok(())
    }

    /// Attacks a bug of membership without any process: the first line that tells of it, if it is caught. The tree is
    /// that of the last [`ScratchBuild::build`].
    ///
    /// # Errors
    ///
    /// It does not build, or can't be run.
    pub fn attack(&self, bug: Bug) -> Result<Option<String>, ScratchBuildError> {
        let program = self.folder.join("bin").join(format!("attack-{}", bug.name()));
        self.cargo(bug.name(), "yarrowhill-attack", "attack", &program)?;
        let schedules: &[&str] = match bug {
            _ if bug.is_in_rights() => &["rights", "--seeds", "200", "--sizes", "3"],
            _ if bug.is_in_duties() => &["duties", "--seeds", "200", "--most", "300000"],
            _ if bug.is_in_outages() => &["returns", "--seeds", "60", "--sizes", "3"],
            _ => &["schedules", "--seeds", "200"],
        };
        for args in [schedules, &["search"]] {
            let done = Command::new(&program).args(args).output().map_err(at(&program))?;
            if !done.status.success() {
                let text = String::from_utf8_lossy(&done.stdout);
                let told = text.lines().find(|line| line.starts_with("  ") || line.starts_with("seed"));
                return Ok(Some(format!("{}: {}", args[0], told.unwrap_or("it ended").trim())));
            }
        }
        Ok(None)
    }

    /// Builds a program of the tree and puts it in a place of its own.
    fn cargo(&self, what: &str, package: &str, bin: &str, to: &Path) -> Result<(), ScratchBuildError> {
        let (tree, target) = (self.folder.join("tree"), self.folder.join("build"));
        let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
        let built = Command::new(cargo)
            .args(["build", "--quiet", "--locked", "--offline", "-p", package, "--bin", bin])
            .env("CARGO_TARGET_DIR", &target)
            .current_dir(&tree)
            .stdin(Stdio::null())
            .status()
            .map_err(at(&tree))?;
        if !built.success() {
            return Err(ScratchBuildError::Build(what.to_owned()));
        }
        let from = target.join("debug").join(bin);
        fs::copy(&from, to).map_err(at(&from))?;
        Ok(())
    }
}

/// All files at a place under a folder, by their paths from it.
fn files(folder: &Path, name: &Path, found: &mut Vec<PathBuf>) -> Result<(), ScratchBuildError> {
    let path = folder.join(name);
    if !path.is_dir() {
        found.push(name.to_path_buf());
        return Ok(());
    }
    for entry in fs::read_dir(&path).map_err(at(&path))? {
        let entry = entry.map_err(at(&path))?;
        files(folder, &name.join(entry.file_name()), found)?;
    }
    Ok(())
}
