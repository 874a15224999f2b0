//! Typed indices of requests, endpoints, request classes and tenants, so that the compiler catches one kind
//! used in place of another.

use std::fmt;

/// Defines an index type.
macro_rules! index_type {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(usize);

        impl $name {
            /// Wraps a raw index.
            pub const fn new(index: usize) -> Self {
                $name(index)
            }

            /// The raw index.
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
    /// The index of a request while it is in flight.
    RequestId
}

index_type! {
    /// The index of an endpoint (a server process) while it is known.
    EndpointId
}

index_type! {
    /// The index of a request class.
    ClassId
}

index_type! {
    /// The index of a tenant.
    TenantId
}
