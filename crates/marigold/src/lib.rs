//! Commands of the `marigold` binaries.
