//! Log lines on standard error, for people or as JSON.

use std::sync::Arc;

use fulmarpath_settings::LogForm;
use spdlog::formatter::{JsonFormatter, PatternFormatter, pattern};
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::{LevelFilter, Logger};

/// The log could not be set up.
#[derive(Debug, thiserror::Error)]
#[error("could not set up the log")]
pub struct LogError(#[source] spdlog::Error);

/// Sets up the log for the whole process.
///
/// # Errors
/// [`LogError`] where the sink can't be built.
pub fn init(form: LogForm) -> Result<(), LogError> {
    let builder = StdStreamSink::builder().std_stream(StdStream::Stderr);
    let sink = match form {
        LogForm::Text => builder
            .formatter(PatternFormatter::new(pattern!(
                "{date} {time}.{millisecond} {level} {payload}{eol}"
            )))
            .build(),
        LogForm::Json => builder.formatter(JsonFormatter::new()).build(),
    };
    let sink = sink.map_err(LogError)?;
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::All)
        .build()
        .map_err(LogError)?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
