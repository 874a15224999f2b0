//! What several test programs use.

pub(crate) mod running_proxy;
pub(crate) mod temporary_folder;
