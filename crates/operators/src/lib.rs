//! operators
