//! Hash collections with a fast hasher.
//!
//! The hasher isn't resistant to collisions chosen by an attacker. Keys that come straight from a caller belong in
//! `std` maps.

/// Hash map with a fast hasher.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast hasher.
pub type Set<K> = rustc_hash::FxHashSet<K>;
