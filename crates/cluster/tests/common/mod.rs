//! An in-memory object API.

use std::collections::HashMap;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use fulmarpath_http::HttpError;
use fulmarpath_store::{Object, ObjectApi, PlatformError, Version};
use parking_lot::Mutex;

/// An in-memory object API that can lose answers and be down.
#[derive(Default)]
pub(crate) struct FakeObjectApi {
    pub(crate) objects: Mutex<HashMap<String, (Version, Bytes)>>,
    pub(crate) answers_to_lose: Mutex<u32>,
    pub(crate) is_down: Mutex<bool>,
}

const FAILED: HttpError = HttpError::NoResponse {
    address: std::net::SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1),
};

impl FakeObjectApi {
    fn write(
        &self,
        key: &str,
        value: Bytes,
        expected: Option<Version>,
    ) -> Result<Version, PlatformError> {
        if *self.is_down.lock() {
            return Err(PlatformError::NotExecuted(FAILED));
        }
        let mut objects = self.objects.lock();
        let current = objects.get(key).map(|(version, _)| *version);
        if current != expected {
            return Err(PlatformError::Conflict { key: key.into() });
        }
        let version = current.unwrap_or(0) + 1;
        objects.insert(key.to_owned(), (version, value));
        let mut to_lose = self.answers_to_lose.lock();
        if *to_lose > 0 {
            *to_lose -= 1;
            return Err(PlatformError::OutcomeUnknown(FAILED));
        }
        Ok(version)
    }
}

#[async_trait]
impl ObjectApi for FakeObjectApi {
    async fn read(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        if *self.is_down.lock() {
            return Err(PlatformError::NotExecuted(FAILED));
        }
        let objects = self.objects.lock();
        Ok(objects.get(key).map(|(version, value)| Object {
            version: *version,
            value: value.clone(),
        }))
    }

    async fn create(&self, key: &str, value: Bytes) -> Result<Version, PlatformError> {
        self.write(key, value, None)
    }

    async fn replace(
        &self,
        key: &str,
        value: Bytes,
        expected: Version,
    ) -> Result<Version, PlatformError> {
        self.write(key, value, Some(expected))
    }

    async fn delete(&self, key: &str) -> Result<(), PlatformError> {
        self.objects.lock().remove(key);
        Ok(())
    }

    async fn watch(
        &self,
        key: &str,
        _seen: Version,
        _time_limit: Duration,
    ) -> Result<Option<Object>, PlatformError> {
        self.read(key).await
    }
}
