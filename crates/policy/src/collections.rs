//! Hash collections with a fast hasher.
//!
//! The hasher isn't resistant to crafted collisions. Use `std` maps for keys that come directly from a caller.

/// Hash map with a fast hasher.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast hasher.
pub type Set<K> = rustc_hash::FxHashSet<K>;
