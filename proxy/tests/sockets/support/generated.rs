//! Generated input, from a fixed seed.

use quickcheck::{Gen, QuickCheck, TestResult, Testable};

/// Checks that a property holds for generated input, from a fixed seed.
pub(crate) fn check_generated(tests: u64, property: impl Fn(&mut Gen) -> bool + 'static) {
    // A closure that captures an address cannot be passed as a plain function.
    struct Property<F>(F);
    impl<F: Fn(&mut Gen) -> bool + 'static> Testable for Property<F> {
        fn result(&self, generator: &mut Gen) -> TestResult {
            TestResult::from_bool((self.0)(generator))
        }
    }
    QuickCheck::new()
        .tests(tests)
        .rng(Gen::from_size_and_seed(300, 20_261_201))
        .quickcheck(Property(property));
}
