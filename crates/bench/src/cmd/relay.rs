//! `relay`: gaps between tokens through one host and directly from the engine, in the same run.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use fulmarpath::dev::caller::{CallerRequest, open};
use fulmarpath::dev::{CALLER_KEY, Deployment, DeploymentSpec, DevError};
use fulmarpath_http::{Call, HttpError, Lines, post_json};
use fulmarpath_standin::EngineSpec;
use fulmarpath_upstream::GenerateRequest;
use futures::future::join_all;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Measure the latency that one host adds to a token stream
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Relay {
    /// Number of concurrent streams
    #[bpaf(argument("N"), fallback(100))]
    streams: usize,
    /// Tokens per stream
    #[bpaf(argument("N"), fallback(200))]
    tokens: u32,
}

#[derive(Serialize)]
struct Row {
    streams: usize,
    tokens_per_s_offered: f64,
    direct_gap_ms_p50: f64,
    direct_gap_ms_p99: f64,
    relayed_gap_ms_p50: f64,
    relayed_gap_ms_p99: f64,
    added_ms_p50: f64,
    added_ms_p99: f64,
    relayed_to_direct_p99_ratio: f64,
}

const SILENCE_TIMEOUT: Duration = Duration::from_millis(10_000);

impl Relay {
    pub(crate) fn run(&self) {
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        match runtime.block_on(self.measure()) {
            Ok(row) => println!("{}", serde_json::to_string(&row).unwrap_or_default()),
            Err(error) => println!("{error}"),
        }
    }

    async fn measure(&self) -> Result<Row, DevError> {
        // The step takes 25 ms at any batch size, so longer gaps are caused by the path.
        let spec = DeploymentSpec {
            hosts: 1,
            engines: 1,
            engine: EngineSpec {
                memory_tokens: 10_000_000,
                batch_limit: 4_096,
                step_ms: 25.0,
                sequence_ms: 0.0,
                prompt_ms_per_token: 0.0,
                ..EngineSpec::default()
            },
            ..DeploymentSpec::default()
        };
        let deployment = Deployment::start(spec).await?;
        let engine = deployment.engines[0].address;
        let host = deployment.caller_address(0);
        let direct = self.gaps(|number| self.direct(engine, number)).await;
        let relayed = self.gaps(|number| self.relayed(host, number)).await;
        let ms = |gaps: &Histogram<u64>, quantile| gaps.value_at_quantile(quantile) as f64 / 1e3;
        let (direct_p50, direct_p99) = (ms(&direct, 0.5), ms(&direct, 0.99));
        let (relayed_p50, relayed_p99) = (ms(&relayed, 0.5), ms(&relayed, 0.99));
        Ok(Row {
            streams: self.streams,
            tokens_per_s_offered: self.streams as f64 * 1_000.0 / spec.engine.step_ms,
            direct_gap_ms_p50: direct_p50,
            direct_gap_ms_p99: direct_p99,
            relayed_gap_ms_p50: relayed_p50,
            relayed_gap_ms_p99: relayed_p99,
            added_ms_p50: relayed_p50 - direct_p50,
            added_ms_p99: relayed_p99 - direct_p99,
            relayed_to_direct_p99_ratio: relayed_p99 / direct_p99,
        })
    }

    async fn gaps<F>(&self, start: impl Fn(usize) -> F) -> Histogram<u64>
    where
        F: Future<Output = Result<Call, HttpError>>,
    {
        let reads = join_all((0..self.streams).map(|number| {
            let opening = start(number);
            async move {
                match opening.await {
                    Ok(call) => read_gaps(call).await,
                    Err(_) => Vec::new(),
                }
            }
        }));
        let mut gaps = Histogram::new(3).expect("a histogram of three digits");
        gaps.auto(true);
        for gap_us in reads.await.into_iter().flatten() {
            let _ = gaps.record(gap_us);
        }
        gaps
    }

    async fn direct(&self, engine: SocketAddr, number: usize) -> Result<Call, HttpError> {
        let request = GenerateRequest {
            traceparent: None,
            generation: format!("direct-{number}"),
            attempt: 1,
            model: "gutachter-lm".to_owned(),
            prompt: format!("direct {number} #{}", self.tokens),
            already_out: Vec::new(),
            output_limit_tokens: self.tokens,
            priority: 0,
        };
        post_json(engine, "/generate", &request, SILENCE_TIMEOUT).await
    }

    async fn relayed(&self, host: SocketAddr, number: usize) -> Result<Call, HttpError> {
        let request = CallerRequest {
            key: CALLER_KEY,
            prompt: format!("relayed {number} #{}", self.tokens),
            ..CallerRequest::default()
        };
        open(host, &request).await
    }
}

/// Microseconds between tokens; lines without a token are skipped.
async fn read_gaps(call: Call) -> Vec<u64> {
    let mut lines = Lines::new(call);
    let mut gaps = Vec::new();
    let mut last: Option<Instant> = None;
    while let Ok(Some(line)) = lines.next(SILENCE_TIMEOUT).await {
        let is_token = line.starts_with(b"data: {") || line.starts_with(b"{\"kind\":\"token\"");
        if !is_token {
            continue;
        }
        let now = Instant::now();
        if let Some(last) = last.replace(now) {
            gaps.push((now - last).as_micros() as u64);
        }
    }
    gaps
}
