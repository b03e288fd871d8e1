//! Log set-up: text or JSON on standard error, or for a gateway JSON on standard output.

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

/// Sets up the log of the process on standard error.
///
/// # Errors
/// [`LogError`] where the sink can't be built.
pub fn init(format: LogFormat) -> Result<(), LogError> {
    let builder = StdStreamSink::builder().std_stream(StdStream::Stderr);
    let sink = match format {
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

/// Capacity of the queue of log lines, enough for one second at a host's peak rate. When the queue
/// is full, new lines are dropped, so that a slow log reader never delays a request.
const QUEUE_LINES: usize = 2_048;

/// Sets up the log of a gateway: JSON lines on standard output, written by a dedicated thread.
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
        .capacity(NonZeroUsize::new(QUEUE_LINES).unwrap_or(NonZeroUsize::MIN))
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

/// Number of gateway log lines that were dropped since the start.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);
