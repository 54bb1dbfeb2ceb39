//! endpoints
