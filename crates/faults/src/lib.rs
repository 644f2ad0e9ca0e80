//! Fault injection points at which the fault rig kills the process.
//!
//! Without the feature `on`, [`crash_point`] is an empty constant function that costs nothing. With it, the
//! environment variable `YARROWHILL_DIE` names a [`Point`] and a number n, as in `after-commit:3`. The process
//! aborts the n-th time that the point is reached. No destructors or exit handlers run, as after a SIGKILL.
//!
//! ```
//! use yarrowhill_faults::{Point, crash_point};
//! assert_eq!(Point::from_name("after-commit"), Some(Point::AfterCommit));
//! // Has no effect unless `YARROWHILL_DIE` names this point.
//! crash_point(Point::AfterCommit);
//! ```

/// A point in the program at which the process may be killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Point {
    /// A turn has been decided, and none of its records is written yet.
    BeforeCommit,
    /// The records of a turn are written; no client has been answered and no call has started.
    AfterCommit,
    /// Clients have been answered; no call has started.
    AfterAnswers,
    /// Calls have been handed to the transport.
    AfterCalls,
    /// A compacted copy of the journal is written and has not yet replaced the old file.
    BeforeRename,
}

impl Point {
    /// All points.
    pub const ALL: [Point; 5] = [
        Point::BeforeCommit,
        Point::AfterCommit,
        Point::AfterAnswers,
        Point::AfterCalls,
        Point::BeforeRename,
    ];

    /// Returns the name of the point in `YARROWHILL_DIE`.
    pub fn name(self) -> &'static str {
        match self {
            Point::BeforeCommit => "before-commit",
            Point::AfterCommit => "after-commit",
            Point::AfterAnswers => "after-answers",
            Point::AfterCalls => "after-calls",
            Point::BeforeRename => "before-rename",
        }
    }

    /// Returns the point with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Point::ALL.into_iter().find(|point| point.name() == name)
    }
}

/// Aborts the process if `YARROWHILL_DIE` names this point and it has been reached the given number of times.
#[cfg(feature = "on")]
pub fn crash_point(point: Point) {
    use std::sync::OnceLock;
    use std::sync::atomic::{AtomicU32, Ordering};
    static TARGET: OnceLock<Option<(Point, u32)>> = OnceLock::new();
    static REACHED: AtomicU32 = AtomicU32::new(0);
    let target = TARGET.get_or_init(|| {
        let text = std::env::var("YARROWHILL_DIE").ok()?;
        let (point, nth) = text.split_once(':')?;
        Some((Point::from_name(point)?, nth.parse().ok()?))
    });
    if let Some((target_point, nth)) = target
        && *target_point == point
        && REACHED.fetch_add(1, Ordering::Relaxed) + 1 == *nth
    {
        std::process::abort();
    }
}

/// Does nothing: the feature `on` is off.
#[cfg(not(feature = "on"))]
#[inline(always)]
pub const fn crash_point(_: Point) {}
