//! The request of a call, for one message or a batch.

use crate::connection;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{Method, Request, Uri};
use serde::Serialize;
use std::net::SocketAddr;
use tokio::time::Instant;
use yarrowhill_engine::Item;

#[derive(Serialize)]
struct BatchItem<'a> {
    id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    key: Option<&'a str>,
    body: String,
}

/// Builds the request for one message or a batch. Returns `None` without messages, or if a header value is
/// not valid.
pub(crate) fn request(items: &[Item], to: SocketAddr) -> Option<Request<Full<Bytes>>> {
    let mut request = match items {
        [] => return None,
        [item] => single(item)?,
        items => batch(items)?,
    };
    *request.method_mut() = Method::POST;
    let wait = items.iter().map(|i| i.deadline).max()?.saturating_duration_since(Instant::now());
    let wait = HeaderValue::from(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
    request.headers_mut().insert("req-deadline-ms", wait);
    connection::set_host(&mut request, to);
    Some(request)
}

fn single(item: &Item) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::new(Full::new(item.body.clone()));
    *request.uri_mut() = Uri::from_static("/hook");
    request.headers_mut().insert("req-id", HeaderValue::from_str(&item.message_id).ok()?);
    if let Some(key) = &item.key {
        request.headers_mut().insert("idempotency-key", HeaderValue::from_str(key).ok()?);
    }
    Some(request)
}

fn batch(items: &[Item]) -> Option<Request<Full<Bytes>>> {
    let list: Vec<BatchItem> = items
        .iter()
        .map(|i| BatchItem { id: &i.message_id, key: i.key.as_deref(), body: STANDARD.encode(&i.body) })
        .collect();
    let text = serde_json::to_vec(&list).ok()?;
    let mut request = Request::new(Full::new(Bytes::from(text)));
    *request.uri_mut() = Uri::from_static("/hook/batch");
    request.headers_mut().insert("content-type", HeaderValue::from_static("application/json"));
    Some(request)
}
