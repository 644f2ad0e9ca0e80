//! The compiled document: the first rule that matches, without a look at all of them.

use crate::model::{Condition, Message, Routes, Rule};
use crate::prefixes::PrefixSet;
use std::collections::HashMap;

/// A rule that names more combinations than this is kept under fewer things.
const SPREAD_MOST: usize = 64;

/// What rules are found by: class, owner, partner; `None` for any.
type Key = (Option<u32>, Option<u32>, Option<usize>);

/// Routes with their index.
#[derive(Clone, Debug)]
pub struct Router {
    routes: Routes,
    sets: Vec<PrefixSet>,
    classes: HashMap<String, u32>,
    owners: HashMap<String, u32>,
    dests: HashMap<u64, usize>,
    /// Numbers of rules, in their order.
    buckets: HashMap<Key, Vec<usize>>,
}

impl Router {
    /// Compiles what was read.
    pub fn new(routes: Routes) -> Self {
        let mut router = Router {
            sets: routes.address_sets.iter().map(|set| set.networks.iter().copied().collect()).collect(),
            dests: routes.partners.iter().enumerate().map(|(i, p)| (p.dest, i)).collect(),
            routes,
            classes: HashMap::new(),
            owners: HashMap::new(),
            buckets: HashMap::new(),
        };
        for (number, rule) in router.routes.rules.iter().enumerate() {
            let Condition { classes, owners, partners, .. } = &rule.condition;
            let classes = numbered(&mut router.classes, classes);
            let owners = numbered(&mut router.owners, owners);
            let partners: Vec<_> = any(partners.iter().copied().map(Some).collect());
            let fits = |n: usize| n <= SPREAD_MOST;
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

    /// What was compiled.
    pub fn routes(&self) -> &Routes {
        &self.routes
    }

    pub(crate) fn into_routes(self) -> Routes {
        self.routes
    }

    /// The first rule that matches.
    pub fn route(&self, message: &Message<'_>) -> Option<&Rule> {
        let class = self.classes.get(message.class).copied();
        let owner = message.owner.and_then(|owner| self.owners.get(owner)).copied();
        let partner = self.dests.get(&message.dest).copied();
        let mut found = self.candidates(class, owner, partner);
        found.find(|n| self.matches(&self.routes.rules[*n].condition, message)).map(|n| &self.routes.rules[n])
    }

    /// The same by a look at one rule after another: what the index is measured against.
    pub fn route_by_scan(&self, message: &Message<'_>) -> Option<&Rule> {
        self.routes.rules.iter().find(|rule| self.matches(&rule.condition, message))
    }

    /// Rules kept under these or under any, in their order.
    pub(crate) fn candidates(
        &self,
        class: Option<u32>,
        owner: Option<u32>,
        partner: Option<usize>,
    ) -> impl Iterator<Item = usize> {
        let mut lists: Vec<&[usize]> = Vec::with_capacity(8);
        for class in both(class) {
            for owner in both(owner) {
                for partner in both(partner) {
                    lists.extend(self.buckets.get(&(class, owner, partner)).map(Vec::as_slice));
                }
            }
        }
        std::iter::from_fn(move || {
            let least = lists.iter_mut().filter(|list| !list.is_empty()).min_by_key(|list| list[0])?;
            let (first, rest) = least.split_first()?;
            *least = rest;
            Some(*first)
        })
    }

    /// The numbers that rules with this condition are kept under: the first of each thing.
    pub(crate) fn first_of(&self, when: &Condition) -> (Option<u32>, Option<u32>, Option<usize>) {
        let class = when.classes.first().and_then(|c| self.classes.get(c)).copied();
        let owner = when.owners.first().and_then(|o| self.owners.get(o)).copied();
        (class, owner, when.partners.first().copied())
    }

    fn matches(&self, when: &Condition, m: &Message<'_>) -> bool {
        let named = |names: &[String], name: Option<&str>| {
            names.is_empty() || name.is_some_and(|name| names.iter().any(|n| n == name))
        };
        let dest = |partner: &usize| self.routes.partners[*partner].dest == m.dest;
        let header = |(name, value): &(String, String)| m.headers.contains(&(name, value));
        named(&when.classes, Some(m.class))
            && named(&when.owners, m.owner)
            && (when.partners.is_empty() || when.partners.iter().any(dest))
            && when.headers.iter().all(header)
            && when.body_bytes.is_none_or(|(least, most)| (least..=most).contains(&m.body_bytes))
            && when.hours.is_none_or(|hours| hours.contains(m.minute))
            && (when.sources.is_empty()
                || m.source.is_some_and(|from| when.sources.iter().any(|set| self.sets[*set].contains(from))))
    }
}

fn both<T>(one: Option<T>) -> impl Iterator<Item = Option<T>> {
    one.into_iter().map(Some).chain([None])
}

fn any<T>(named: Vec<Option<T>>) -> Vec<Option<T>> {
    if named.is_empty() { vec![None] } else { named }
}

fn numbered(known: &mut HashMap<String, u32>, names: &[String]) -> Vec<Option<u32>> {
    let number = |name: &String| {
        let next = u32::try_from(known.len()).unwrap_or(u32::MAX);
        Some(*known.entry(name.clone()).or_insert(next))
    };
    any(names.iter().map(number).collect())
}
