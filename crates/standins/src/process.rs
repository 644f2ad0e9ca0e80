//! The program under test, as a process of its own.

use crate::ledger::Ledger;
use crate::wire::Wire;
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

/// How the program is started.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The program.
    pub program: PathBuf,
    /// A folder of its own: `config.json`, `state` and `log` are made there.
    pub folder: PathBuf,
    /// Further variables of its environment.
    pub env: Vec<(String, String)>,
    /// No file of its may grow longer than this (bytes): writes stop short there.
    pub max_file_bytes: Option<u64>,
    /// No more descriptors than this.
    pub max_descriptors: Option<u64>,
}

/// The running program.
#[derive(Debug)]
pub struct Process {
    /// Where clients connect.
    pub addr: SocketAddr,
    setup: Setup,
    child: Child,
    ledger: Ledger,
}

/// Longer than a start should take.
const START: Duration = Duration::from_secs(20);
/// Bytes of its log that tell why it ended.
const SAID: usize = 600;

impl Process {
    /// Starts it with a configuration, and waits until it is ready.
    ///
    /// # Errors
    ///
    /// It can't be started, or does not get ready.
    pub async fn start(setup: Setup, config: &Value, ledger: &Ledger) -> io::Result<Self> {
        let mut process = Process::spawn(setup, config, ledger)?;
        process.ready().await?;
        Ok(process)
    }

    /// Starts it with a configuration, and does not wait: it may have reasons never to be ready.
    ///
    /// # Errors
    ///
    /// It can't be started.
    pub fn spawn(setup: Setup, config: &Value, ledger: &Ledger) -> io::Result<Self> {
        std::fs::create_dir_all(setup.folder.join("state"))?;
        std::fs::write(setup.folder.join("config.json"), config.to_string())?;
        let addr = config["listen"].as_str().and_then(|a| a.parse().ok());
        let addr = addr.ok_or(io::ErrorKind::InvalidInput)?;
        let child = spawn(&setup)?;
        Ok(Process { addr, setup, child, ledger: ledger.clone() })
    }

    async fn ready(&mut self) -> io::Result<()> {
        let asked = async {
            loop {
                if let Some(status) = self.child.try_wait()? {
                    let said = self.last_said();
                    return Err(io::Error::other(format!("it ended before it was ready: {status}: {said}")));
                }
                if is_ready(self.addr).await {
                    return Ok(());
                }
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(START, asked).await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        self.ledger.write(Event::Forwarder(ForwarderState::Ready));
        Ok(())
    }

    /// The end of what it said on its way out.
    fn last_said(&self) -> String {
        let log = std::fs::read(self.setup.folder.join("log")).unwrap_or_default();
        String::from_utf8_lossy(&log[log.len().saturating_sub(SAID)..]).into_owned()
    }

    /// Starts it again with a configuration, without some of its variables.
    ///
    /// # Errors
    ///
    /// As for [`Process::start`].
    pub async fn restart(&mut self, config: &Value, without: &str) -> io::Result<()> {
        std::fs::write(self.setup.folder.join("config.json"), config.to_string())?;
        self.setup.env.retain(|(name, _)| name != without);
        self.child = spawn(&self.setup)?;
        self.ready().await
    }

    /// Starts it again with a configuration, and does not wait until it is ready.
    ///
    /// # Errors
    ///
    /// It can't be started.
    pub fn respawn(&mut self, config: &Value) -> io::Result<()> {
        std::fs::write(self.setup.folder.join("config.json"), config.to_string())?;
        self.child = spawn(&self.setup)?;
        Ok(())
    }

    /// SIGKILL.
    ///
    /// # Errors
    ///
    /// It can't be waited for.
    pub async fn kill(&mut self) -> io::Result<()> {
        self.ledger.write(Event::Forwarder(ForwarderState::Ending));
        self.child.kill().await
    }

    /// Another signal, by its name.
    ///
    /// # Errors
    ///
    /// `kill` can't be run.
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
    /// The file can't be written.
    pub async fn reload(&self, config: &Value) -> io::Result<()> {
        std::fs::write(self.setup.folder.join("config.json"), config.to_string())?;
        self.signal("HUP").await
    }

    /// How it ended, if it has.
    ///
    /// # Errors
    ///
    /// It can't be waited for.
    pub fn try_exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        let ended = self.child.try_wait()?;
        if ended.is_some() {
            self.ledger.write(Event::Forwarder(ForwarderState::Ending));
        }
        Ok(ended)
    }

    /// Waits for its end.
    ///
    /// # Errors
    ///
    /// It does not end in `most`.
    pub async fn wait_exit(&mut self, most: Duration) -> io::Result<ExitStatus> {
        timeout(most, self.child.wait()).await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    /// The folder that it was given.
    pub fn folder(&self) -> &std::path::Path {
        &self.setup.folder
    }

    /// Its process.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }
}

/// Whether a forwarder answers that it is ready.
pub async fn is_ready(addr: SocketAddr) -> bool {
    let asked = async {
        let mut wire = Wire::new(TcpStream::connect(addr).await.ok()?);
        wire.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await.ok()?;
        wire.read().await.ok()?.status()
    };
    timeout(Duration::from_secs(1), asked).await.ok().flatten() == Some(200)
}

fn spawn(setup: &Setup) -> io::Result<Child> {
    let log = std::fs::File::options().append(true).create(true).open(setup.folder.join("log"))?;
    // The shell's own limits: at that of files writes stop short, then fail.
    let files = setup.max_file_bytes.map(|most| format!("trap '' XFSZ; ulimit -f {}; ", most / 512));
    let descriptors = setup.max_descriptors.map(|most| format!("ulimit -n {most}; "));
    let limits: String = files.into_iter().chain(descriptors).collect();
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
