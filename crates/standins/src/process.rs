//! The program under test, as a child process.

use crate::ledger::Ledger;
use crate::wire::Connection;
use serde_json::Value;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};
use yarrowhill_checker::{Event, ForwarderState};

/// How the program under test is started.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Path of the program.
    pub program: PathBuf,
    /// Folder of the process; `config.json`, `state` and `log` are created in it.
    pub folder: PathBuf,
    /// Additional environment variables.
    pub env: Vec<(String, String)>,
    /// Maximum length of the process's files (bytes): writes are cut short there.
    pub max_file_bytes: Option<u64>,
    /// Maximum number of file descriptors.
    pub max_descriptors: Option<u64>,
}

/// The running program under test.
#[derive(Debug)]
pub struct Process {
    /// Address that clients connect to.
    pub addr: SocketAddr,
    setup: Setup,
    child: Child,
    ledger: Ledger,
}

/// Maximum time until the process is ready; longer than a start should take.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Length of the end of the log that error messages quote (bytes).
const LOG_TAIL_BYTES: usize = 600;

impl Process {
    /// Starts the program with a configuration and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started, ends before it is ready, or is not ready in time.
    pub async fn start(setup: Setup, config: &Value, ledger: &Ledger) -> io::Result<Self> {
        let mut process = Process::spawn(setup, config, ledger)?;
        process.wait_ready().await?;
        Ok(process)
    }

    /// Starts the program with a configuration without waiting until it is ready, for programs that may never
    /// be.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started.
    pub fn spawn(setup: Setup, config: &Value, ledger: &Ledger) -> io::Result<Self> {
        std::fs::create_dir_all(setup.folder.join("state"))?;
        std::fs::write(setup.folder.join("config.json"), config.to_string())?;
        let addr = config["listen"].as_str().and_then(|a| a.parse().ok());
        let addr = addr.ok_or(io::ErrorKind::InvalidInput)?;
        let child = spawn(&setup)?;
        Ok(Process { addr, setup, child, ledger: ledger.clone() })
    }

    async fn wait_ready(&mut self) -> io::Result<()> {
        let ready = async {
            loop {
                if let Some(status) = self.child.try_wait()? {
                    let log = self.log_tail();
                    return Err(io::Error::other(format!(
                        "the program ended before it was ready: {status}: {log}"
                    )));
                }
                if is_ready(self.addr).await {
                    return Ok(());
                }
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(START_TIMEOUT, ready).await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        self.ledger.write(Event::Forwarder(ForwarderState::Ready));
        Ok(())
    }

    /// Returns the end of the program's log.
    fn log_tail(&self) -> String {
        let log = std::fs::read(self.setup.folder.join("log")).unwrap_or_default();
        String::from_utf8_lossy(&log[log.len().saturating_sub(LOG_TAIL_BYTES)..]).into_owned()
    }

    /// Starts the program again with a configuration, without the environment variable `without`, and waits
    /// until it is ready.
    ///
    /// # Errors
    ///
    /// Fails as [`Process::start`] does.
    pub async fn restart(&mut self, config: &Value, without: &str) -> io::Result<()> {
        std::fs::write(self.setup.folder.join("config.json"), config.to_string())?;
        self.setup.env.retain(|(name, _)| name != without);
        self.child = spawn(&self.setup)?;
        self.wait_ready().await
    }

    /// Starts the program again with a configuration without waiting until it is ready.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started.
    pub fn respawn(&mut self, config: &Value) -> io::Result<()> {
        std::fs::write(self.setup.folder.join("config.json"), config.to_string())?;
        self.child = spawn(&self.setup)?;
        Ok(())
    }

    /// Sends SIGKILL and waits for the process to end.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be waited for.
    pub async fn kill(&mut self) -> io::Result<()> {
        self.ledger.write(Event::Forwarder(ForwarderState::Ending));
        self.child.kill().await
    }

    /// Sends a signal, given by its name without `SIG`.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended or the command `kill` cannot be run.
    pub async fn signal(&self, name: &str) -> io::Result<()> {
        if name == "TERM" {
            self.ledger.write(Event::Forwarder(ForwarderState::Ending));
        }
        let pid = self.child.id().ok_or(io::ErrorKind::NotFound)?.to_string();
        Command::new("kill").args([&format!("-{name}"), &pid]).status().await.map(drop)
    }

    /// Writes another configuration and sends SIGHUP.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written or the signal cannot be sent.
    pub async fn reload(&self, config: &Value) -> io::Result<()> {
        std::fs::write(self.setup.folder.join("config.json"), config.to_string())?;
        self.signal("HUP").await
    }

    /// Returns the exit status, if the process has ended.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be waited for.
    pub fn try_exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        let status = self.child.try_wait()?;
        if status.is_some() {
            self.ledger.write(Event::Forwarder(ForwarderState::Ending));
        }
        Ok(status)
    }

    /// Waits for the process to end.
    ///
    /// # Errors
    ///
    /// Fails if the process does not end within `time_limit` or cannot be waited for.
    pub async fn wait_exit(&mut self, time_limit: Duration) -> io::Result<ExitStatus> {
        timeout(time_limit, self.child.wait()).await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    /// Returns the folder of the process.
    pub fn folder(&self) -> &std::path::Path {
        &self.setup.folder
    }

    /// Returns the process id, unless the process has ended.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }
}

/// Returns whether a forwarder answers that it is ready.
pub async fn is_ready(addr: SocketAddr) -> bool {
    let status = async {
        let mut connection = Connection::new(TcpStream::connect(addr).await.ok()?);
        connection.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await.ok()?;
        connection.read().await.ok()?.status()
    };
    timeout(Duration::from_secs(1), status).await.ok().flatten() == Some(200)
}

fn spawn(setup: &Setup) -> io::Result<Child> {
    let log = std::fs::File::options().append(true).create(true).open(setup.folder.join("log"))?;
    // Limits set by the shell: a write that reaches the file size limit is cut short, and the next fails.
    let file_size = setup.max_file_bytes.map(|max| format!("trap '' XFSZ; ulimit -f {}; ", max / 512));
    let descriptors = setup.max_descriptors.map(|max| format!("ulimit -n {max}; "));
    let limits: String = file_size.into_iter().chain(descriptors).collect();
    let mut command = match limits.is_empty() {
        true => Command::new(&setup.program),
        false => {
            let mut shell = Command::new("sh");
            shell.arg("-c").arg(limits + "exec \"$0\"").arg(&setup.program);
            shell
        }
    };
    command
        .env("BALANCER_CONFIG", setup.folder.join("config.json"))
        .env("BALANCER_STATE", setup.folder.join("state"))
        .envs(setup.env.iter().map(|(name, value)| (name, value)))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .kill_on_drop(true)
        .spawn()
}
