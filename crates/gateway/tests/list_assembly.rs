//! Tests how the pages of a long list of upstreams become a complete one.

use std::net::SocketAddr;

use fulmarpath_gateway::{ListAssembly, ListedPage, RegisteredState, Registration};
use fulmarpath_policy::Revision;
use rstest::rstest;

/// A page: its list, the last name before it, the last name on it unless it is the last page, and
/// when it arrives.
type Page = (u64, Option<&'static str>, Option<&'static str>, u64);

fn page((revision, after, up_to, _): &Page) -> ListedPage {
    let instance = up_to.unwrap_or("z").to_owned();
    let registration = Registration {
        instance,
        started_at_ms: None,
        service: "engines".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "dc-a".to_owned(),
        slots: 24,
        state: RegisteredState::Ready,
        cold_ms: 0,
    };
    ListedPage {
        revision: Revision::new(1, *revision),
        after: after.map(str::to_owned),
        up_to: up_to.map(str::to_owned),
        put: vec![registration],
    }
}

struct AssemblyCase {
    pages: &'static [Page],
    /// The revision and the names of the list that becomes complete with the last page.
    complete: Option<(u64, &'static [&'static str])>,
}

/// Guards against a list that counts as complete although a page is missing, so that a host takes
/// live upstreams for gone, and against pages of two lists that are mixed.
#[rstest]
#[case::in_order(AssemblyCase {
    pages: &[(5, None, Some("f"), 0), (5, Some("f"), Some("m"), 10), (5, Some("m"), None, 20)],
    complete: Some((5, &["f", "m", "z"])),
})]
#[case::out_of_order(AssemblyCase {
    pages: &[(5, Some("m"), None, 0), (5, None, Some("f"), 10), (5, Some("f"), Some("m"), 20)],
    complete: Some((5, &["f", "m", "z"])),
})]
#[case::first_page_missing(AssemblyCase {
    pages: &[(5, Some("f"), Some("m"), 0), (5, Some("m"), None, 10)],
    complete: None,
})]
#[case::middle_page_missing(AssemblyCase {
    pages: &[(5, None, Some("f"), 0), (5, Some("m"), None, 10)],
    complete: None,
})]
#[case::page_twice(AssemblyCase {
    pages: &[(5, None, Some("f"), 0), (5, None, Some("f"), 10), (5, Some("f"), None, 20)],
    complete: Some((5, &["f", "z"])),
})]
#[case::another_list_meanwhile(AssemblyCase {
    pages: &[(5, None, Some("f"), 0), (7, Some("f"), None, 10), (5, Some("f"), None, 20)],
    complete: Some((5, &["f", "z"])),
})]
#[case::another_list_after_a_stalled_one(AssemblyCase {
    pages: &[(5, None, Some("f"), 0), (7, None, Some("g"), 600), (7, Some("g"), None, 610)],
    complete: Some((7, &["g", "z"])),
})]
fn list_is_complete_with_its_last_missing_page(#[case] case: AssemblyCase) {
    let mut assembly = ListAssembly::default();
    let mut complete = None;
    for listed in case.pages {
        assert!(complete.is_none(), "complete before the last page");
        complete = assembly.add(listed.3, page(listed));
    }
    let names = |put: &[Registration]| -> Vec<String> {
        let mut names: Vec<String> = put.iter().map(|one| one.instance.clone()).collect();
        names.sort();
        names
    };
    let complete = complete.map(|list| (list.revision.number, names(&list.put)));
    let expected = case.complete.map(|(revision, names)| {
        let names = names.iter().map(|name| (*name).to_owned());
        (revision, names.collect::<Vec<String>>())
    });
    assert_eq!(complete, expected);
}

/// Guards against hosts that fetch a list from a peer while its pages arrive, and against hosts that
/// wait for pages that no longer come.
#[rstest]
#[case::arriving(400, true)]
#[case::stalled(600, false)]
fn pages_are_expected_for_a_while(#[case] at_ms: u64, #[case] expected: bool) {
    let mut assembly = ListAssembly::default();
    assert!(!assembly.is_progressing(0));
    assembly.add(0, page(&(5, None, Some("f"), 0)));
    assert_eq!(assembly.is_progressing(at_ms), expected);
}
