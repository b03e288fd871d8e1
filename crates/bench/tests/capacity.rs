//! Guards against a docs/CAPACITY.md whose message sizes differ from those of the code.

use std::path::Path;
use std::process::Command;

#[test]
fn capacity_page_lists_bytes_of_each_call() {
    let output = Command::new(env!("CARGO_BIN_EXE_fulmarpath-bench"))
        .args(["slopes", "--bytes-only"])
        .output()
        .expect("run fulmarpath-bench");
    let rows = String::from_utf8(output.stdout).expect("UTF-8 output");
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CAPACITY.md");
    let page = std::fs::read_to_string(page).expect("read docs/CAPACITY.md");
    assert_eq!(rows.lines().count(), 9);
    for row in rows.lines() {
        assert!(
            page.contains(row),
            "missing or stale in docs/CAPACITY.md: {row}"
        );
    }
}
