//! cowslipdeal
