//! The compiled routing document: an index that finds the first matching rule without testing all rules.

use crate::model::{Condition, Message, Routes, Rule};
use crate::prefixes::PrefixSet;
use std::collections::HashMap;

/// Maximum number of index entries of one rule. A rule with more combinations of class, owner and partner is
/// indexed by fewer of these attributes.
const MAX_ENTRIES_PER_RULE: usize = 64;

/// Index key of a rule: numbers of class, owner and partner, `None` for any.
type Key = (Option<u32>, Option<u32>, Option<usize>);

/// A routing document with its lookup index.
#[derive(Clone, Debug)]
pub struct Router {
    routes: Routes,
    address_sets: Vec<PrefixSet>,
    classes: HashMap<String, u32>,
    owners: HashMap<String, u32>,
    dests: HashMap<u64, usize>,
    /// Rule indices in document order, by index key.
    buckets: HashMap<Key, Vec<usize>>,
}

impl Router {
    /// Builds the index for a parsed document.
    pub fn new(routes: Routes) -> Self {
        let mut router = Router {
            address_sets: routes
                .address_sets
                .iter()
                .map(|set| set.networks.iter().copied().collect())
                .collect(),
            dests: routes.partners.iter().enumerate().map(|(index, partner)| (partner.dest, index)).collect(),
            routes,
            classes: HashMap::new(),
            owners: HashMap::new(),
            buckets: HashMap::new(),
        };
        for (number, rule) in router.routes.rules.iter().enumerate() {
            let Condition { classes, owners, partners, .. } = &rule.condition;
            let classes = number_names(&mut router.classes, classes);
            let owners = number_names(&mut router.owners, owners);
            let partners: Vec<_> = or_any(partners.iter().copied().map(Some).collect());
            let fits = |n: usize| n <= MAX_ENTRIES_PER_RULE;
            let classes = if fits(classes.len()) { classes } else { vec![None] };
            let owners = if fits(classes.len() * owners.len()) { owners } else { vec![None] };
            let partners =
                if fits(classes.len() * owners.len() * partners.len()) { partners } else { vec![None] };
            for class in &classes {
                for owner in &owners {
                    for partner in &partners {
                        router.buckets.entry((*class, *owner, *partner)).or_default().push(number);
                    }
                }
            }
        }
        router
    }

    /// Returns the indexed document.
    pub fn routes(&self) -> &Routes {
        &self.routes
    }

    pub(crate) fn into_routes(self) -> Routes {
        self.routes
    }

    /// Returns the first rule that matches a message.
    pub fn route(&self, message: &Message<'_>) -> Option<&Rule> {
        let class = self.classes.get(message.class).copied();
        let owner = message.owner.and_then(|owner| self.owners.get(owner)).copied();
        let partner = self.dests.get(&message.dest).copied();
        let mut found = self.candidates(class, owner, partner);
        found.find(|n| self.matches(&self.routes.rules[*n].condition, message)).map(|n| &self.routes.rules[n])
    }

    /// Returns the same rule as [`Router::route`] by testing one rule after another. Reference for tests and
    /// benchmarks of the index.
    pub fn route_by_scan(&self, message: &Message<'_>) -> Option<&Rule> {
        self.routes.rules.iter().find(|rule| self.matches(&rule.condition, message))
    }

    /// Returns the indices of the rules indexed by these numbers or by "any", in document order.
    pub(crate) fn candidates(
        &self,
        class: Option<u32>,
        owner: Option<u32>,
        partner: Option<usize>,
    ) -> impl Iterator<Item = usize> {
        let mut lists: Vec<&[usize]> = Vec::with_capacity(8);
        for class in with_any(class) {
            for owner in with_any(owner) {
                for partner in with_any(partner) {
                    lists.extend(self.buckets.get(&(class, owner, partner)).map(Vec::as_slice));
                }
            }
        }
        std::iter::from_fn(move || {
            let next = lists.iter_mut().filter(|list| !list.is_empty()).min_by_key(|list| list[0])?;
            let (first, rest) = next.split_first()?;
            *next = rest;
            Some(*first)
        })
    }

    /// Returns an index key that messages matching this condition may have, from the first value of each
    /// criterion.
    pub(crate) fn first_key(&self, condition: &Condition) -> Key {
        let class = condition.classes.first().and_then(|c| self.classes.get(c)).copied();
        let owner = condition.owners.first().and_then(|o| self.owners.get(o)).copied();
        (class, owner, condition.partners.first().copied())
    }

    fn matches(&self, condition: &Condition, message: &Message<'_>) -> bool {
        let contains = |names: &[String], name: Option<&str>| {
            names.is_empty() || name.is_some_and(|name| names.iter().any(|n| n == name))
        };
        let dest = |partner: &usize| self.routes.partners[*partner].dest == message.dest;
        let header = |(name, value): &(String, String)| message.headers.contains(&(name, value));
        contains(&condition.classes, Some(message.class))
            && contains(&condition.owners, message.owner)
            && (condition.partners.is_empty() || condition.partners.iter().any(dest))
            && condition.headers.iter().all(header)
            && condition.body_bytes.is_none_or(|(min, max)| (min..=max).contains(&message.body_bytes))
            && condition.hours.is_none_or(|hours| hours.contains(message.minute))
            && (condition.sources.is_empty()
                || message.source.is_some_and(|source| {
                    condition.sources.iter().any(|set| self.address_sets[*set].contains(source))
                }))
    }
}

fn with_any<T>(value: Option<T>) -> impl Iterator<Item = Option<T>> {
    value.into_iter().map(Some).chain([None])
}

fn or_any<T>(values: Vec<Option<T>>) -> Vec<Option<T>> {
    if values.is_empty() { vec![None] } else { values }
}

fn number_names(known: &mut HashMap<String, u32>, names: &[String]) -> Vec<Option<u32>> {
    let number = |name: &String| {
        let next = u32::try_from(known.len()).unwrap_or(u32::MAX);
        Some(*known.entry(name.clone()).or_insert(next))
    };
    or_any(names.iter().map(number).collect())
}
