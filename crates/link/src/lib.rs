//! Messages and connections between entry and agent.
