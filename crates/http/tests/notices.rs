//! What is logged of notices that the platform does not acknowledge.

use std::fmt::{Debug, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Metadata, Subscriber};
use yarrowhill_engine::{Notice, NoticeEnd};

/// Collects the messages of all log entries.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<String>>>);

struct Message(String);

impl Visit for Message {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        if field.name() == "message" {
            write!(self.0, "{value:?}").expect("a string takes all");
        }
    }
}

impl Subscriber for Log {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        *metadata.level() <= tracing::Level::WARN
    }

    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }

    fn record(&self, _: &Id, _: &Record<'_>) {}

    fn record_follows_from(&self, _: &Id, _: &Id) {}

    fn event(&self, event: &Event<'_>) {
        let mut message = Message(String::new());
        event.record(&mut message);
        self.0.lock().expect("no test panics here").push(message.0);
    }

    fn enter(&self, _: &Id) {}

    fn exit(&self, _: &Id) {}
}

/// Returns an address that refuses connections.
async fn closed_address() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("port is free");
    listener.local_addr().expect("listener is bound")
}

/// A platform that could not be reached left no trace in the log.
#[tokio::test]
async fn a_refused_connection_for_notices_is_logged_and_not_for_each_attempt() {
    let log = Log::default();
    let _guard = tracing::subscriber::set_default(log.clone());
    let (_address, address) = watch::channel(closed_address().await);
    let (notices, batches) = mpsc::channel(1);
    let (engine, _inputs) = mpsc::channel(1);
    let sending = tokio::spawn(yarrowhill_http::notices::send_all(address, batches, engine));
    let notice = Notice { message_id: "m".into(), end: NoticeEnd::GivenUp };
    notices.send(vec![notice]).await.expect("the task runs");
    let logged = async {
        while log.0.lock().expect("no test panics here").is_empty() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(5), logged).await.expect("the failure is logged");
    // Several further attempts.
    sleep(Duration::from_millis(300)).await;
    let entries = log.0.lock().expect("no test panics here").clone();
    assert_eq!(entries.len(), 1, "{entries:?}");
    assert!(entries[0].contains("cannot connect") && entries[0].contains("127.0.0.1"), "{entries:?}");
    sending.abort();
}
