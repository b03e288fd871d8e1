//! `slopes`: bytes, processor time and memory of what each role holds and sends, and what that
//! makes at the two-year size.

use bpaf::Bpaf;

use crate::slopes::{bytes, capacity, cpu, memory};

/// Measure what each control message and each thing held costs
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Slopes {
    /// Only the bytes of messages, which are the same at each run
    bytes_only: bool,
    /// Print docs/CAPACITY.md's table
    table: bool,
}

impl Slopes {
    pub(crate) fn run(&self) {
        let bytes = bytes::measure();
        if self.bytes_only {
            bytes.iter().for_each(|one| println!("{}", one.row()));
            return;
        }
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        let cpu = runtime.block_on(cpu::measure());
        let memory = runtime.block_on(memory::measure());
        if self.table {
            println!("{}", capacity::table(&bytes, &cpu, &memory));
            println!("{}", capacity::platform());
            return;
        }
        for call in &bytes {
            println!("{}", serde_json::to_string(call).unwrap_or_default());
        }
        for slope in cpu.iter().chain(&memory) {
            println!("{}", serde_json::to_string(slope).unwrap_or_default());
        }
    }
}
