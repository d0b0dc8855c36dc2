//! Copy-on-write value, by which successive states share the parts that an action did not change.

use std::ops::{Deref, DerefMut};
use std::sync::Arc;

/// A shared value that is cloned on the first change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct CopyOnWrite<T>(Arc<T>);

impl<T> CopyOnWrite<T> {
    pub(crate) fn new(value: T) -> Self {
        Self(Arc::new(value))
    }
}

impl<T> Deref for CopyOnWrite<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.0
    }
}

impl<T: Clone> DerefMut for CopyOnWrite<T> {
    fn deref_mut(&mut self) -> &mut T {
        Arc::make_mut(&mut self.0)
    }
}
