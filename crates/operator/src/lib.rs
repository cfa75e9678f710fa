//! Configuration, plans and the operators' HTTP interface.
