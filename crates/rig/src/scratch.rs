//! Builds the program with a planted bug: copies the workspace to a scratch folder, applies the patch, and
//! builds there.

use crate::bugs::Bug;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// Errors of building the program in the scratch folder.
#[derive(Debug, thiserror::Error)]
pub enum ScratchBuildError {
    /// A file or program cannot be read, written or run.
    #[error("{0}: {1}")]
    Io(PathBuf, #[source] io::Error),
    /// The patch is not a valid unified diff.
    #[error("{0}: cannot parse the patch: {1}")]
    Patch(&'static str, String),
    /// The patch does not apply to the current sources.
    #[error("{bug}: the patch does not apply to {file}: {why}")]
    Fit {
        /// Name of the bug.
        bug: &'static str,
        /// The file that the patch changes.
        file: String,
        /// Reason given by the patch library.
        why: String,
    },
    /// The build failed.
    #[error("{0}: the build failed")]
    Build(String),
    /// The repository has no such commit, or a git command failed.
    #[error("{0}: no such commit")]
    Commit(String),
}

fn io_error(path: &Path) -> impl FnOnce(io::Error) -> ScratchBuildError + '_ {
    |e| ScratchBuildError::Io(path.into(), e)
}

/// Returns the root of the workspace.
fn root() -> PathBuf {
    let here = Path::new(env!("CARGO_MANIFEST_DIR"));
    here.ancestors().nth(2).unwrap_or(here).to_path_buf()
}

/// Returns the files that a bug's patch changes, by path, with their contents after the patch. Writes
/// nothing.
///
/// # Errors
///
/// The patch does not apply.
pub fn patched_files(bug: Bug) -> Result<BTreeMap<PathBuf, String>, ScratchBuildError> {
    let mut texts = BTreeMap::new();
    for part in bug.patch().split_inclusive('\n').fold(Vec::<String>::new(), split_by_file) {
        let invalid = |why: String| ScratchBuildError::Patch(bug.name(), why);
        let patch = diffy::Patch::from_str(&part).map_err(|e| invalid(e.to_string()))?;
        let name = patch.original().ok_or_else(|| invalid("no file is named".into()))?;
        let name = name.strip_prefix("a/").unwrap_or(name).to_owned();
        let path = root().join(&name);
        let text = fs::read_to_string(&path).map_err(io_error(&path))?;
        let applied = diffy::apply(&text, &patch);
        let text = applied.map_err(|e| ScratchBuildError::Fit {
            bug: bug.name(),
            file: name.clone(),
            why: e.to_string(),
        })?;
        texts.insert(PathBuf::from(name), text);
    }
    Ok(texts)
}

/// Folds the lines of a diff into one part for each file.
fn split_by_file(mut parts: Vec<String>, line: &str) -> Vec<String> {
    if line.starts_with("--- ") || parts.is_empty() {
        parts.push(String::new());
    }
    if let Some(part) = parts.last_mut() {
        part.push_str(line);
    }
    parts
}

/// The scratch copy of the workspace, locked by one process at a time. Only files that differ from the
/// previous build are written, so that builds are incremental.
#[derive(Debug)]
pub struct ScratchBuild {
    folder: PathBuf,
    _lock: File,
}

impl ScratchBuild {
    /// Opens the scratch copy, and waits while another process holds its lock.
    ///
    /// # Errors
    ///
    /// The folder or its lock file cannot be created or locked.
    pub fn open() -> Result<Self, ScratchBuildError> {
        let folder = root().join("target/bugs");
        fs::create_dir_all(folder.join("bin")).map_err(io_error(&folder))?;
        let path = folder.join("lock");
        let lock = File::create(&path).map_err(io_error(&path))?;
        lock.lock().map_err(io_error(&path))?;
        Ok(ScratchBuild { folder, _lock: lock })
    }

    /// Builds the program with a planted bug and returns its path.
    ///
    /// # Errors
    ///
    /// The patch does not apply, or the patched program does not build.
    pub fn build(&self, bug: Bug) -> Result<PathBuf, ScratchBuildError> {
        let mut patched = patched_files(bug)?;
        let mut paths = Vec::new();
        for name in ["Cargo.toml", "Cargo.lock", "crates"] {
            files(&root(), Path::new(name), &mut paths)?;
        }
        let mut texts = Vec::new();
        for name in paths {
            let from = root().join(&name);
            let text = match patched.remove(&name) {
                Some(text) => text.into_bytes(),
                None => fs::read(&from).map_err(io_error(&from))?,
            };
            texts.push((name, text));
        }
        self.sync_tree(texts)?;
        let to = self.folder.join("bin").join(bug.name());
        self.cargo(bug.name(), "yarrowhill-rig", "yarrowhill-faulty", &to)?;
        Ok(to)
    }

    /// Builds the program of a commit of this repository and returns its path.
    ///
    /// # Errors
    ///
    /// There is no such commit, or it does not build.
    pub fn build_commit(&self, commit: &str) -> Result<PathBuf, ScratchBuildError> {
        let git = |args: &[&str]| -> Result<Vec<u8>, ScratchBuildError> {
            let output =
                Command::new("git").args(args).current_dir(root()).output().map_err(io_error(&root()))?;
            if output.status.success() {
                Ok(output.stdout)
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
        self.sync_tree(texts)?;
        let to = self.folder.join("bin").join(format!("before-{commit}"));
        self.cargo(commit, "yarrowhill-rig", "yarrowhill-faulty", &to)?;
        Ok(to)
    }

    /// Makes the source tree contain exactly these files. Only files that differ are written, so that builds
    /// are incremental.
    fn sync_tree(&self, texts: Vec<(PathBuf, Vec<u8>)>) -> Result<(), ScratchBuildError> {
        let tree = self.folder.join("tree");
        for (name, text) in &texts {
            let to = tree.join(name);
            if fs::read(&to).is_ok_and(|old| old == *text) {
                continue;
            }
            to.parent().map_or(Ok(()), fs::create_dir_all).map_err(io_error(&to))?;
            fs::write(&to, text).map_err(io_error(&to))?;
        }
        let mut present = Vec::new();
        files(&tree, Path::new("crates"), &mut present)?;
        for name in present.iter().filter(|name| !texts.iter().any(|(path, _)| path == *name)) {
            let path = tree.join(name);
            fs::remove_file(&path).map_err(io_error(&path))?;
            // Cargo would take an empty folder of a package for a workspace member without a manifest.
            let emptied = path.ancestors().skip(1).take_while(|folder| *folder != tree);
            let _ = emptied.map(fs::remove_dir).take_while(Result::is_ok).count();
        }
        Ok(())
    }

    /// Runs `attack` against a bug of a package without I/O, in the tree of the last [`ScratchBuild::build`],
    /// and returns the first line that reports a breach, if the bug is caught.
    ///
    /// # Errors
    ///
    /// `attack` does not build or cannot be run.
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
            let output = Command::new(&program).args(args).output().map_err(io_error(&program))?;
            if !output.status.success() {
                let text = String::from_utf8_lossy(&output.stdout);
                let breach = text.lines().find(|line| line.starts_with("  ") || line.starts_with("seed"));
                return Ok(Some(format!(
                    "{}: {}",
                    args[0],
                    breach.unwrap_or("it exited with an error").trim()
                )));
            }
        }
        Ok(None)
    }

    /// Builds a program of the tree and copies it to `to`. Errors name the build by `label`.
    fn cargo(&self, label: &str, package: &str, bin: &str, to: &Path) -> Result<(), ScratchBuildError> {
        let (tree, target) = (self.folder.join("tree"), self.folder.join("build"));
        let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
        let built = Command::new(cargo)
            .args(["build", "--quiet", "--locked", "--offline", "-p", package, "--bin", bin])
            .env("CARGO_TARGET_DIR", &target)
            .current_dir(&tree)
            .stdin(Stdio::null())
            .status()
            .map_err(io_error(&tree))?;
        if !built.success() {
            return Err(ScratchBuildError::Build(label.to_owned()));
        }
        let from = target.join("debug").join(bin);
        fs::copy(&from, to).map_err(io_error(&from))?;
        Ok(())
    }
}

/// Collects all files at `name` under `folder`, as paths relative to `folder`.
fn files(folder: &Path, name: &Path, found: &mut Vec<PathBuf>) -> Result<(), ScratchBuildError> {
    let path = folder.join(name);
    if !path.is_dir() {
        found.push(name.to_path_buf());
        return Ok(());
    }
    for entry in fs::read_dir(&path).map_err(io_error(&path))? {
        let entry = entry.map_err(io_error(&path))?;
        files(folder, &name.join(entry.file_name()), found)?;
    }
    Ok(())
}
