//! The queue against a search through all messages in order.

use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn each_first_message_is_the_one_that_a_search_finds(
        steps in prop::collection::vec((0..40_i64, 0..30_u64, any::<bool>(), any::<bool>()), 1..120),
        at in 0..45_i64,
    ) {
        let mut queue = MessageQueue::default();
        let mut all: BTreeSet<(Micros, MessageId, bool)> = BTreeSet::new();
        for (due, id, is_recovered, is_insert) in steps {
            let known = all.iter().find(|(_, known, _)| *known == id).copied();
            match known {
                Some(known) => {
                    queue.remove(known.0, id);
                    all.remove(&known);
                }
                None if is_insert => {
                    queue.insert(due, id, is_recovered);
                    all.insert((due, id, is_recovered));
                }
                None => queue.remove(due, id),
            }
            let search = |matches: &dyn Fn(&(Micros, MessageId, bool)) -> bool| {
                all.iter().find(|message| matches(message)).map(|(due, id, _)| (*due, *id))
            };
            prop_assert_eq!(queue.len(), all.len());
            prop_assert_eq!(queue.is_empty(), all.is_empty());
            prop_assert_eq!(queue.first(), search(&|_| true));
            prop_assert_eq!(queue.first_due_from(at), search(&|(due, ..)| *due >= at));
            prop_assert_eq!(queue.first_new(), search(&|(.., is_recovered)| !is_recovered).map(|m| m.1));
            prop_assert_eq!(queue.first_recovered(), search(&|(.., is_recovered)| *is_recovered).map(|m| m.1));
        }
    }
}
