//! Log lines on standard error, for people or as JSON.

use std::num::NonZeroUsize;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use fulmarpath_settings::LogFormat;
use spdlog::formatter::{JsonFormatter, PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger, ThreadPool};

/// The log could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("could not set up the log")]
pub struct LogError(#[source] spdlog::Error);

/// Sets up the log for the whole process.
///
/// # Errors
/// [`LogError`] where the sink can't be built.
pub fn init(form: LogFormat) -> Result<(), LogError> {
    let builder = StdStreamSink::builder().std_stream(StdStream::Stderr);
    let sink = match form {
        LogFormat::Text => builder
            .formatter(PatternFormatter::new(pattern!(
                "{date} {time}.{millisecond} {level} {payload}{eol}"
            )))
            .build(),
        LogFormat::Json => builder.formatter(JsonFormatter::new()).build(),
    };
    install(Arc::new(sink.map_err(LogError)?))
}

fn install(sink: Arc<dyn Sink>) -> Result<(), LogError> {
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::All)
        .build()
        .map_err(LogError)?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Lines that wait for standard output at most; a burst of a second at a host's peak. What comes
/// while as many wait is dropped, so that a slow reader of the log never holds a request up.
const WAITING_LINES: usize = 2_048;

/// Sets up the log of a gateway: JSON lines on standard output, written by a thread of its own.
///
/// # Errors
/// [`LogError`] where the sink can't be built.
pub fn init_gateway() -> Result<(), LogError> {
    let output = StdStreamSink::builder()
        .std_stream(StdStream::Stdout)
        .formatter(JsonFormatter::new())
        .build()
        .map_err(LogError)?;
    let pool = ThreadPool::builder()
        .capacity(NonZeroUsize::new(WAITING_LINES).unwrap_or(NonZeroUsize::MIN))
        .build()
        .map_err(LogError)?;
    let sink = AsyncPoolSink::builder()
        .sink(Arc::new(output))
        .thread_pool(Arc::new(pool))
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(|_| {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        })
        .build()
        .map_err(LogError)?;
    install(Arc::new(sink))
}

/// Lines of a gateway's log that were left out so far.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
