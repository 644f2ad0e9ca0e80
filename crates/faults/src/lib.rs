//! Points of the program at which the fault rig ends the process.
//!
//! Without the feature `on`, [`crash_point`] is a constant that costs nothing. With it, `YARROWHILL_DIE` names a [`Point`]
//! and a number: at that passing of that point the process ends as by SIGKILL, with nothing run on the way out.
//!
//! ```
//! use yarrowhill_faults::{Point, crash_point};
//! assert_eq!(Point::from_name("after-commit"), Some(Point::AfterCommit));
//! // No environment names it here.
//! crash_point(Point::AfterCommit);
//! ```

/// A point at which the process may end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Point {
    /// The turn is decided, nothing of it is written.
    BeforeCommit,
    /// The turn is written, nobody is answered and no call has started.
    AfterCommit,
    /// Clients are answered, no call has started.
    AfterAnswers,
    /// Calls have been handed to the transport.
    AfterCalls,
    /// A compacted copy is written and not yet in the old file's place.
    BeforeRename,
}

impl Point {
    /// All of them.
    pub const ALL: [Point; 5] = [
        Point::BeforeCommit,
        Point::AfterCommit,
        Point::AfterAnswers,
        Point::AfterCalls,
        Point::BeforeRename,
    ];

    /// Its name in the environment.
    pub fn name(self) -> &'static str {
        match self {
            Point::BeforeCommit => "before-commit",
            Point::AfterCommit => "after-commit",
            Point::AfterAnswers => "after-answers",
            Point::AfterCalls => "after-calls",
            Point::BeforeRename => "before-rename",
        }
    }

    /// The one of that name.
    pub fn from_name(name: &str) -> Option<Self> {
        Point::ALL.into_iter().find(|point| point.name() == name)
    }
}

/// Ends the process here, if the environment says so.
#[cfg(feature = "on")]
pub fn crash_point(point: Point) {
    use std::sync::OnceLock;
    use std::sync::atomic::{AtomicU32, Ordering};
    static DEATH: OnceLock<Option<(Point, u32)>> = OnceLock::new();
    static PASSED: AtomicU32 = AtomicU32::new(0);
    let death = DEATH.get_or_init(|| {
        let text = std::env::var("YARROWHILL_DIE").ok()?;
        let (point, nth) = text.split_once(':')?;
        Some((Point::from_name(point)?, nth.parse().ok()?))
    });
    if let Some((at, nth)) = death
        && *at == point
        && PASSED.fetch_add(1, Ordering::Relaxed) + 1 == *nth
    {
        std::process::abort();
    }
}

/// Does nothing.
#[cfg(not(feature = "on"))]
#[inline(always)]
pub const fn crash_point(_: Point) {}
