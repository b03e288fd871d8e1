//! Lists of the store whose pages don't lead to an end.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use fulmarpath_gateway::{Changes, Collection, Freshness, ListPage, StoreError};
use fulmarpath_policy::Revision;
use rstest::rstest;

/// A collection whose pages end with the names that a function returns by their number.
struct Pages {
    read: AtomicUsize,
    last: fn(usize) -> Option<String>,
}

#[async_trait]
impl Collection<u32> for Pages {
    async fn list_page(
        &self,
        _after: Option<&str>,
        _freshness: Freshness,
    ) -> Result<ListPage<u32>, StoreError> {
        let number = self.read.fetch_add(1, Ordering::Relaxed);
        Ok(ListPage {
            revision: Revision::new(1, 1),
            items: vec![1],
            unusable: Vec::new(),
            more_after: (self.last)(number),
        })
    }

    async fn watch(&self, revision: Revision, _: Duration) -> Result<Changes<u32>, StoreError> {
        Err(StoreError::HistoryGone { revision })
    }
}

struct ListCase {
    last: fn(usize) -> Option<String>,
    /// Number of items; `None` if the list is given up.
    items: Option<usize>,
}

/// Guards against a list that is read for ever and held in memory: its pages repeat a name, or don't
/// end.
#[rstest]
#[case::ends(ListCase { last: |number| (number < 20).then(|| format!("{number}")), items: Some(21) })]
#[case::same_name(ListCase { last: |_| Some("a".to_owned()), items: None })]
#[case::cycle(ListCase { last: |number| Some(format!("{}", number % 3)), items: None })]
#[case::new_names(ListCase { last: |number| Some(format!("{number}")), items: None })]
#[tokio::test]
async fn an_endless_list_is_given_up(#[case] case: ListCase) {
    let pages = Pages {
        read: AtomicUsize::default(),
        last: case.last,
    };
    let source: &dyn Collection<u32> = &pages;
    let listed = tokio::time::timeout(Duration::from_secs(5), source.list(Freshness::Newest)).await;
    let listed = listed.expect("the list ends");
    assert_eq!(listed.ok().map(|list| list.items.len()), case.items);
}
