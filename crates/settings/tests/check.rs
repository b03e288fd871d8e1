//! Reading settings reports all mistakes in one pass, each with its position.

use std::path::{Path, PathBuf};

use fulmarpath_settings::{
    DiagnosticKind, SettingsDiagnostics, difference, read_declarations, read_host,
};
use rstest::rstest;

fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(name)
}

struct ExpectedDiagnostic {
    file: &'static str,
    line: u64,
    column: u64,
    message: &'static str,
}

const EXPECTED: [ExpectedDiagnostic; 12] = [
    ExpectedDiagnostic {
        file: "models.yaml",
        line: 3,
        column: 14,
        message: "could not read `version` as a text",
    },
    ExpectedDiagnostic {
        file: "models.yaml",
        line: 4,
        column: 20,
        message: "could not accept 12 for `memory_tokens`",
    },
    ExpectedDiagnostic {
        file: "services.yaml",
        line: 4,
        column: 26,
        message: "could not accept 70000 for `output_limit_tokens`",
    },
    ExpectedDiagnostic {
        file: "services.yaml",
        line: 3,
        column: 12,
        message: "could not find model `gutachten-lm`",
    },
    ExpectedDiagnostic {
        file: "services.yaml",
        line: 7,
        column: 31,
        message: "could not find method `FETCH`",
    },
    ExpectedDiagnostic {
        file: "organisations.yaml",
        line: 2,
        column: 11,
        message: "could not use `aerocert ag` as a name",
    },
    ExpectedDiagnostic {
        file: "organisations.yaml",
        line: 3,
        column: 18,
        message: "could not read `key_sha256` as 64 hex digits",
    },
    ExpectedDiagnostic {
        file: "organisations.yaml",
        line: 6,
        column: 5,
        message: "could not use the unknown field `wieght`",
    },
    ExpectedDiagnostic {
        file: "organisations.yaml",
        line: 7,
        column: 5,
        message: "could not find `key_sha256`",
    },
    ExpectedDiagnostic {
        file: "organisations.yaml",
        line: 9,
        column: 21,
        message: "could not read `requests_per_s` as a number",
    },
    ExpectedDiagnostic {
        file: "presets.yaml",
        line: 3,
        column: 22,
        message: "could not accept -1 for `stall`",
    },
    ExpectedDiagnostic {
        file: "presets.yaml",
        line: 5,
        column: 23,
        message: "could not find service `classifications`",
    },
];

#[test]
fn one_pass_reports_all_mistakes() {
    let Err(SettingsDiagnostics(found)) = read_declarations(&path("tests/wrong")) else {
        panic!("invalid declarations were accepted");
    };
    for (expected, diagnostic) in EXPECTED.iter().zip(&found) {
        assert!(diagnostic.file.ends_with(expected.file), "{diagnostic}");
        assert_eq!(
            (diagnostic.line, diagnostic.column),
            (expected.line, expected.column),
            "{diagnostic}"
        );
        assert_eq!(diagnostic.kind.to_string(), expected.message);
        assert!(!diagnostic.hint.is_empty());
    }
    assert_eq!(found.len(), EXPECTED.len());
}

#[rstest]
#[case("../../examples/association")]
#[case("../../examples/vilaverde")]
fn the_examples_are_accepted(#[case] directory: &str) {
    let declarations = read_declarations(&path(directory)).expect("valid settings");
    assert_eq!(declarations.organisations.len(), 10);
    assert_eq!(declarations.presets.len(), 3);
}

#[test]
fn the_example_host_is_accepted() {
    let settings = read_host(&path("../../examples/host.yaml")).expect("valid settings");
    assert_eq!(settings.data_centre, "zrh-a");
}

#[test]
fn invalid_yaml_is_reported_with_its_line() {
    let Err(SettingsDiagnostics(found)) = read_host(&path("tests/broken.yaml")) else {
        panic!("invalid YAML was accepted");
    };
    assert!(
        matches!(found[0].kind, DiagnosticKind::Syntax { .. }),
        "{}",
        found[0]
    );
    assert_eq!(found[0].line, 3);
}

#[test]
fn differences_name_each_changed_field() {
    let before = read_declarations(&path("../../examples/association")).expect("valid settings");
    let mut after = before.clone();
    after.organisations.remove(9);
    after.organisations[0].weight = 7.0;
    let mut new = after.presets[0].clone();
    new.name = "night".to_owned();
    after.presets.push(new);
    let lines: Vec<String> = difference(&before, &after)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        lines,
        [
            "~ organisation pruefwerk-zuerich: weight 6.0 -> 7.0",
            "- organisation kleinpruefstelle",
            "+ preset night",
        ]
    );
}

/// Guards against a misspelt check in `engine_checks` that is ignored: orders then rely on a fencing
/// number that the engines were meant to check.
#[test]
fn unknown_engine_checks_are_reported() {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join("unknown-engine-checks");
    std::fs::create_dir_all(&directory).expect("create the directory");
    for name in ["models", "services", "organisations", "presets"] {
        let file = format!("{name}.yaml");
        let example = path("../../examples/association").join(&file);
        let mut text = std::fs::read_to_string(example).expect("read the example");
        if name == "models" {
            text += "    engine_checks: [fence]\n";
        }
        std::fs::write(directory.join(&file), text).expect("write the file");
    }
    let Err(SettingsDiagnostics(found)) = read_declarations(&directory) else {
        panic!("an unknown check was accepted");
    };
    assert_eq!(found.len(), 1);
    assert!(found[0].file.ends_with("models.yaml"), "{}", found[0]);
}
