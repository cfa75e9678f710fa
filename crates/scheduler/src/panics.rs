//! What a process does when a part of it panics.
//!
//! A task or an actor that panics ends alone, and nothing does its work from then on. The process ends instead, and the
//! platform starts it again. Only work that nothing else waits for, such as one request, may fail without that.

use std::cell::Cell;
use std::panic::{AssertUnwindSafe, PanicHookInfo, catch_unwind};
use std::process;
use std::task::Poll;
use std::thread;

use crate::logs::WRITER_THREAD;

/// Exit status after a panic.
pub const EXIT_PANICKED: i32 = 101;

thread_local! {
    /// Whether the thread is polling a future of [`contain`].
    static IS_CONTAINED: Cell<bool> = const { Cell::new(false) };
}

/// Logs each panic and ends the process, unless the panic is in a future of [`contain`].
pub fn end_process_on_panic() {
    std::panic::set_hook(Box::new(handle_panic));
}

/// Runs a future whose panic concerns nothing else; `None` if it panics.
pub async fn contain<F: Future>(future: F) -> Option<F::Output> {
    let mut future = std::pin::pin!(future);
    std::future::poll_fn(|context| {
        let is_nested = IS_CONTAINED.replace(true);
        let polled = catch_unwind(AssertUnwindSafe(|| future.as_mut().poll(context)));
        IS_CONTAINED.set(is_nested);
        match polled {
            Ok(polled) => polled.map(Some),
            Err(_) => Poll::Ready(None),
        }
    })
    .await
}

fn handle_panic(info: &PanicHookInfo<'_>) {
    let text = info.payload_as_str().unwrap_or_default();
    let place = info.location().map(ToString::to_string).unwrap_or_default();
    let is_contained = IS_CONTAINED.get();
    let thread = thread::current();
    // The thread that writes the log can't wait for itself.
    if thread.name() == Some(WRITER_THREAD) {
        eprintln!("panicked at {place}: {text}");
    } else {
        log::error!(event = "panicked", place = place, ends_process = !is_contained, error = text; "");
        log::logger().flush();
    }
    if !is_contained {
        process::exit(EXIT_PANICKED);
    }
}
