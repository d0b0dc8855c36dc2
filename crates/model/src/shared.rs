//! Parts of a state that are shared until one of the sharers changes them.

use std::ops::{Deref, DerefMut};
use std::sync::Arc;

/// A value that is copied when it is changed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Shared<T>(Arc<T>);

impl<T> Shared<T> {
    pub(crate) fn new(value: T) -> Self {
        Self(Arc::new(value))
    }
}

impl<T> Deref for Shared<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.0
    }
}

impl<T: Clone> DerefMut for Shared<T> {
    fn deref_mut(&mut self) -> &mut T {
        Arc::make_mut(&mut self.0)
    }
}
