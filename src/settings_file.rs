//! Reads the settings file of a gateway, which may be missing or half written while it is replaced.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use fulmarpath::platform::{NodeFile, SettingsError};
use spdlog::{info, warn};
use tokio::signal::unix::Signal;

use crate::signals;

/// How long a file that can't be used is read again.
const RETRY_LIMIT: Duration = Duration::from_secs(10);
const RETRY_PERIOD: Duration = Duration::from_millis(200);
/// A file that doesn't end with a line break is used once it has stayed the same for this long.
const SETTLE_PERIOD: Duration = Duration::from_millis(100);
/// A file is compared again this long after it was used, as its writer may not have been done.
const RECHECK_DELAY: Duration = Duration::from_secs(1);
/// How often a signal is looked for while the runtime has not started.
const SIGNAL_CHECK_PERIOD: Duration = Duration::from_millis(10);

/// Settings and the text that they were parsed from.
#[derive(Clone)]
pub(crate) struct ReadSettings {
    pub(crate) settings: NodeFile,
    text: String,
}

/// What to do after an attempt to read the file.
enum Step {
    Use(Box<ReadSettings>),
    ReadAgain(Duration),
    GiveUp(SettingsError),
}

/// Attempts to read a file until it can be used.
struct Attempts {
    file: PathBuf,
    started: Instant,
    has_logged: bool,
    unsettled_text: Option<String>,
}

impl Attempts {
    fn new(file: &Path, now: Instant) -> Self {
        Self {
            file: file.to_owned(),
            started: now,
            has_logged: false,
            unsettled_text: None,
        }
    }

    /// Reads the file once.
    fn read(&mut self, now: Instant) -> Step {
        match read(&self.file) {
            Ok(read) if read.text.ends_with('\n') => Step::Use(Box::new(read)),
            Ok(read) if self.unsettled_text.as_ref() == Some(&read.text) => {
                Step::Use(Box::new(read))
            }
            Ok(read) => {
                self.unsettled_text = Some(read.text);
                Step::ReadAgain(SETTLE_PERIOD)
            }
            Err(error) if now.duration_since(self.started) >= RETRY_LIMIT => Step::GiveUp(error),
            Err(error) => {
                if !std::mem::replace(&mut self.has_logged, true) {
                    warn!(
                        "settings: read again for up to {} s: {error}",
                        RETRY_LIMIT.as_secs()
                    );
                }
                Step::ReadAgain(RETRY_PERIOD)
            }
        }
    }
}

fn read(file: &Path) -> Result<ReadSettings, SettingsError> {
    let text = NodeFile::read_text(file)?;
    let settings = NodeFile::parse(file, &text)?;
    Ok(ReadSettings { settings, text })
}

/// Reads the file at the start; `None` if the process was told to stop meanwhile.
///
/// # Errors
/// [`SettingsError`] if the file can't be used for [`RETRY_LIMIT`].
pub(crate) fn read_at_start(file: &Path) -> Result<Option<ReadSettings>, SettingsError> {
    let mut attempts = Attempts::new(file, Instant::now());
    loop {
        let step = attempts.read(Instant::now());
        if signals::has_stop() {
            return Ok(None);
        }
        match step {
            Step::Use(read) => return Ok(Some(*read)),
            Step::GiveUp(error) => return Err(error),
            Step::ReadAgain(delay) => pause(delay),
        }
    }
}

/// Waits for the delay, or until a signal arrives.
fn pause(delay: Duration) {
    let started = Instant::now();
    while started.elapsed() < delay && !signals::has_stop() && !signals::take_reload() {
        std::thread::sleep(SIGNAL_CHECK_PERIOD);
    }
}

/// Reads the file again on each SIGHUP and hands new settings to `apply`.
pub(crate) async fn follow(
    file: PathBuf,
    used: ReadSettings,
    mut hang_up: Signal,
    apply: impl Fn(&NodeFile),
) {
    let mut used_text = used.text;
    let mut is_recheck_due = true;
    loop {
        let is_signal = signals::take_reload()
            || tokio::select! {
                _ = hang_up.recv() => {
                    signals::take_reload();
                    true
                }
                () = tokio::time::sleep(RECHECK_DELAY), if is_recheck_due => false,
            };
        is_recheck_due = false;
        if !is_signal && !differs(&file, &used_text) {
            continue;
        }
        match read_again(&file, &mut hang_up).await {
            Ok(read) => {
                info!("settings: reloaded from {}", file.display());
                apply(&read.settings);
                used_text = read.text;
                is_recheck_due = true;
            }
            Err(error) => warn!("settings: reload failed, keeping the previous ones: {error}"),
        }
    }
}

/// Whether the file is there and has another text. What is not a regular file can't be read twice.
fn differs(file: &Path, used_text: &str) -> bool {
    file.is_file() && NodeFile::read_text(file).is_ok_and(|text| text != used_text)
}

async fn read_again(file: &Path, hang_up: &mut Signal) -> Result<ReadSettings, SettingsError> {
    let mut attempts = Attempts::new(file, Instant::now());
    loop {
        match attempts.read(Instant::now()) {
            Step::Use(read) => return Ok(*read),
            Step::GiveUp(error) => return Err(error),
            Step::ReadAgain(delay) => {
                tokio::select! {
                    () = tokio::time::sleep(delay) => {}
                    _ = hang_up.recv() => {
                        signals::take_reload();
                        attempts.started = Instant::now();
                    }
                }
            }
        }
    }
}
