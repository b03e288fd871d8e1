//! docs/CAPACITY.md can't drift from the code: the bytes of each call must stand there.

use std::path::Path;
use std::process::Command;

#[test]
fn the_page_has_the_bytes_of_each_call() {
    let output = Command::new(env!("CARGO_BIN_EXE_fulmarpath-bench"))
        .args(["slopes", "--bytes-only"])
        .output()
        .expect("the bench runs");
    let rows = String::from_utf8(output.stdout).expect("text");
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/CAPACITY.md");
    let page = std::fs::read_to_string(page).expect("the page");
    assert_eq!(rows.lines().count(), 9);
    for row in rows.lines() {
        assert!(
            page.contains(row),
            "missing or old in docs/CAPACITY.md: {row}"
        );
    }
}
