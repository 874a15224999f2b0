//! Indices by which requests, endpoints, request classes and tenants are known, each of a type of its own, so
//! that none is taken for another.

use std::fmt;

/// Defines a small index that stands for one kind of thing.
macro_rules! index_type {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(usize);

        impl $name {
            /// The one of this index.
            pub const fn new(index: usize) -> Self {
                $name(index)
            }

            /// Its index.
            pub const fn index(self) -> usize {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

index_type! {
    /// A small index that stands for a request while it is in flight.
    RequestId
}

index_type! {
    /// A small index that stands for an endpoint, a server process, while it is known.
    EndpointId
}

index_type! {
    /// The index of a request class in the settings.
    ClassId
}

index_type! {
    /// The index of a tenant in the settings.
    TenantId
}
