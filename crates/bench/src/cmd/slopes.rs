//! `slopes`: bytes and CPU time of each control message, memory of each object held, and the totals
//! at the size planned in two years.

use bpaf::Bpaf;

use crate::slopes::{bytes, capacity, cpu, memory};

/// Measure the cost of each control message and of each object held in memory
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Slopes {
    /// Print only the bytes of messages, which are the same in each run
    bytes_only: bool,
    /// Print the tables of totals for docs/CAPACITY.md
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
