//! A small deployment like the site hlls-booking.

use std::time::Duration;

use tokio::time::sleep;

use crate::cluster::{Cluster, Places, manifest, queue};
use crate::record::Record;
use crate::worker::Shape;

/// Path of the queue.
pub const QUEUE: &str = "/seat-check/";
/// Workers.
const WORKERS: u64 = 11;

/// Starts four entries and eleven workers of 32 cores, as on the site hlls-booking, and waits until they serve.
pub async fn start(places: &Places, record: &Record) -> Result<Cluster, String> {
    let shape = |n: u64| Shape {
        cpu: 32_000,
        mem_mb: 128_000,
        guards: true,
        zone: format!("zone-{}", n % 4),
        rack: format!("r1-{}", n / 3 + 1),
    };
    let shapes: Vec<Shape> = (0..WORKERS).map(shape).collect();
    let configuration = manifest(1, &[queue("seat-check", QUEUE, 0, 3)], true);
    let cluster = Cluster::start(places, 4, &shapes, configuration, record.clone()).await;
    if !cluster.wait_ready(QUEUE).await {
        return Err("the entries don't become ready".to_owned());
    }
    sleep(Duration::from_secs(3)).await;
    Ok(cluster)
}
