//! Stand-ins for the platform, the worker and a faulty network.
