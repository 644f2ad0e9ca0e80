//! Tests of `state`.

use super::*;

/// Guards against a difference between the table in the design document and the code.
#[test]
fn permits_equal_the_table_in_the_design_document() {
    let document = include_str!("../../../../docs/design-membership.md");
    let yes = |b| if b { "yes" } else { "no" };
    for state in MembershipState::ALL {
        let p = permits(state);
        let share = match p.share {
            Share::Nothing => "none",
            Share::Roster => "1 / roster",
            Share::View => "1 / view",
        };
        let row = format!(
            "| {} | {} | {} | {share} | {} | {} | {} |",
            state.name(),
            yes(p.accept_messages),
            yes(p.send_calls),
            yes(p.hold_duty),
            yes(p.configure),
            yes(p.ready)
        );
        assert!(document.contains(&row), "the document lacks the row: {row}");
    }
}

/// Exclusive actions require the support of a majority, regardless of the other facts.
#[test]
fn permits_exclusive_actions_only_with_majority_support() {
    for bits in 0..32u32 {
        let bit = |n: u32| bits >> n & 1 == 1;
        for view_size in 0..4 {
            let evidence = Evidence {
                known: bit(0),
                leaving: bit(1),
                duplicate_name: bit(2),
                majority: bit(3),
                supported: bit(4),
                view_size,
                roster_size: 3,
            };
            let p = permits(membership_state(&evidence));
            let permitted = evidence.known
                && !evidence.leaving
                && !evidence.duplicate_name
                && evidence.majority
                && evidence.supported;
            assert_eq!(p.hold_duty, permitted, "{evidence:?}");
            assert!(!p.configure || p.hold_duty);
        }
    }
}
