//! experiments
