//! Reads the settings of an installation, in the simulator's flat form or as nested JSON, into the decision
//! module's [`Settings`], and keeps the names that go with its numbers.
//!
//! ```
//! let settings = serde_json::json!({"kinds": ["card-issuer"], "familyInfo": {"batchByKind": [20]}});
//! let (settings, names) = yarrowhill_settings::from_json(&settings)?;
//! assert_eq!((settings.kinds[0].max_batch, names.kinds[0].as_str()), (20, "card-issuer"));
//! # Ok::<(), yarrowhill_settings::FieldError>(())
//! ```

mod fields;

pub use fields::{FieldError, Fields, MAX_TIME_US};

use serde_json::Value;
use yarrowhill_policy::api::{
    Class, Decay, DestKind, Effect, LimitReport, Micros, Settings, Tenant, Weights,
};

/// A connection that takes longer has failed, where the settings don't say when (microseconds).
const CONNECT_TIMEOUT: Micros = 1_000_000;

/// Settings by path.
struct Conf<'a> {
    fields: Fields<'a>,
}

impl<'a> Conf<'a> {
    fn list(&self, name: &str) -> Vec<&'a str> {
        self.fields.get(name).map(|v| v.split(',').filter(|s| !s.is_empty()).collect()).unwrap_or_default()
    }

    fn nums(&self, name: &str) -> Result<Vec<f64>, FieldError> {
        self.list(name)
            .iter()
            .map(|v| v.parse::<f64>().ok().filter(|n| n.is_finite()))
            .collect::<Option<_>>()
            .ok_or_else(|| self.fields.error(name, "expected numbers set apart by commas"))
    }

    fn time(&self, name: &str) -> Result<Micros, FieldError> {
        Ok(self.fields.time(name)?.unwrap_or(0))
    }

    fn count(&self, name: &str, absent: usize) -> Result<usize, FieldError> {
        match self.fields.number(name)? {
            Some(v) if v < 0.0 => Err(self.fields.error(name, format!("expected a count, found {v}"))),
            v => Ok(v.map_or(absent, |v| v as usize)),
        }
    }

    fn num(&self, name: &str, absent: f64) -> Result<f64, FieldError> {
        Ok(self.fields.number(name)?.unwrap_or(absent))
    }
}

/// Names that the wire uses for what the interface numbers.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Classes of message.
    pub classes: Vec<String>,
    /// Customers.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of destination.
    pub kinds: Vec<String>,
    /// Fields of a load report, in the order of their values.
    pub report_fields: Vec<String>,
}

/// A name as the settings have it: on the wire that they come from, spaces and commas set values apart.
pub fn normalize_name(name: &str) -> String {
    name.replace([' ', ','], "_")
}

/// The number that goes with a name.
pub fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// Reads settings given as path and value, wherever they come from.
pub fn from_pairs(pairs: &[(String, String)]) -> Result<(Settings, Names), FieldError> {
    let pairs = pairs.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
    from_fields(Fields { line: 0, pairs })
}

/// Reads what a destination tells of its limit, value by name; `None` where a value is no number.
pub fn parse_limit_report<'a>(values: impl Iterator<Item = (&'a str, &'a str)>) -> Option<LimitReport> {
    let mut report = LimitReport { limit: None, remaining: None };
    for (name, value) in values {
        let v = value.parse::<f64>().ok().filter(|v| v.is_finite())?;
        if name == "x1" {
            report.limit = Some(v).filter(|l| *l > 0.0);
        } else if name == "x0" {
            report.remaining = Some(v.clamp(0.0, 1.0));
        }
    }
    report.remaining = report.remaining.filter(|_| report.limit.is_some());
    Some(report)
}

fn owned(names: Vec<&str>) -> Vec<String> {
    names.into_iter().map(str::to_owned).collect()
}

/// Reads the settings out of the fields of a line, or of [`flatten`]'s pairs.
pub fn from_fields(fields: Fields) -> Result<(Settings, Names), FieldError> {
    let c = &Conf { fields };
    let mut names = Names {
        zones: owned(c.list("zones")),
        kinds: owned(c.list("kinds")),
        report_fields: owned(c.list("report.fields")),
        ..Names::default()
    };
    let mut classes = Vec::new();
    for i in 0..c.count("classes.count", 0)? {
        let at = |key: &str| format!("classes.{i}.{key}");
        let kind = at("idempotency");
        let effect = match c.fields.required(&kind)? {
            "pure" => Effect::Safe,
            "side_effect" => Effect::Unsafe,
            "token" => {
                let scope = at("dedupScope");
                let per_zone = match c.fields.get(&scope) {
                    Some("all") => false,
                    None | Some("zone" | "cell") => true,
                    Some(v) => {
                        return Err(c
                            .fields
                            .error(&scope, format!("expected all, zone or cell, found {v:?}")));
                    }
                };
                Effect::Keyed { life: c.time(&at("keyTtl"))?, per_zone }
            }
            v => {
                let expected = format!("expected pure, token or side_effect, found {v:?}");
                return Err(c.fields.error(&kind, expected));
            }
        };
        names.classes.push(c.fields.required(&at("name"))?.to_owned());
        classes.push(Class {
            effect,
            target_latency: c.time(&at("goalTime"))?,
            deadline: c.time(&at("deadline"))?,
            value: c.num(&at("worth"), 1.0)?,
            deadline_value_share: c.num(&at("lateShare"), 0.0)?,
            ordered: c.fields.flag(&at("sequential"))?,
        });
    }
    let mut tenants = Vec::new();
    for i in 0..c.count("realms.count", 0)? {
        names.tenants.push(c.fields.required(&format!("realms.{i}.name"))?.to_owned());
        tenants.push(Tenant { quota: c.num(&format!("realms.{i}.quotaRps"), f64::MAX)? });
    }
    let apart = c.list("familyInfo.kindApart");
    let batch = c.nums("familyInfo.batchByKind")?;
    let kinds = (0..names.kinds.len())
        .map(|i| DestKind {
            independent_endpoints: matches!(apart.get(i), Some(&("true" | "1"))),
            max_batch: batch.get(i).map_or(1, |b| b.max(1.0) as usize),
        })
        .collect();
    let settings = Settings {
        classes,
        kinds,
        tenants,
        over_quota_value_factor: c.num("overShareWorth", 1.0)?,
        decay: match c.fields.get("familyInfo.decay") {
            Some("halves") => Decay::Exponential,
            None | Some("line") => Decay::Linear,
            Some(v) => {
                return Err(c
                    .fields
                    .error("familyInfo.decay", format!("expected line or halves, found {v:?}")));
            }
        },
        zone: c.fields.get("zone").and_then(|z| index_of(&names.zones, z)).unwrap_or(usize::MAX),
        senders: c.count("peersTotal", 1)?,
        slots: c.count("familyInfo.slots", usize::MAX)?,
        max_held_messages: c.count("limits.openCap", usize::MAX)?,
        max_attempts: c.count("limits.maxAttempts", usize::MAX)?,
        may_cancel: c.fields.flag("limits.cancel")?,
        may_overlap_attempts: c.fields.get("limits.mayDuplicate").is_none()
            || c.fields.flag("limits.mayDuplicate")?,
        may_send_retry_after: c.fields.flag("limits.retryAfter")?,
        max_retry_after: c.time("limits.maxRetryAfter")?,
        must_subscribe: match c.fields.get("discovery") {
            Some("ask") => true,
            None | Some("push") => false,
            Some(v) => return Err(c.fields.error("discovery", format!("expected push or ask, found {v:?}"))),
        },
        weights: match c.fields.get("weights") {
            Some("nominal") => Weights::Nominal,
            Some("rough") => Weights::Rough,
            // Live ones change with the load: they are no limit.
            None | Some("off" | "none" | "live") => Weights::Off,
            Some(v) => {
                let expected = format!("expected off, nominal, rough or live, found {v:?}");
                return Err(c.fields.error("weights", expected));
            }
        },
        idle_timeout: c.time("limits.idleClose")?,
        connect_timeout: c.fields.time("limits.connectTimeout")?.unwrap_or(CONNECT_TIMEOUT),
        min_turn_interval: c.time("round")?,
        overload_factor: c.num("guarantees.fallMultiple", 1.0)?,
        overload_duration: c.time("guarantees.overloadFor")?,
        initial_capacity_share: c.num("guarantees.startCapacity", 0.0)?,
        warm_up_duration: c.time("guarantees.warmAfter")?,
        ordered_key_gap: c.time("guarantees.turnGap")?,
    };
    Ok((settings, names))
}

/// Reads settings given as nested JSON.
pub fn from_json(settings: &Value) -> Result<(Settings, Names), FieldError> {
    let mut pairs = Vec::new();
    flatten("", settings, &mut pairs);
    from_pairs(&pairs)
}

/// Puts nested settings into the form that the simulator's wire gives them: path and value, plain lists
/// joined by commas, lists of objects by number and with a count.
fn flatten(path: &str, value: &Value, pairs: &mut Vec<(String, String)>) {
    let below = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(key, v)| flatten(&below(key), v, pairs)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((below("count"), items.len().to_string()));
            items.iter().enumerate().for_each(|(i, v)| flatten(&below(&i.to_string()), v, pairs));
        }
        Value::Array(items) => {
            let texts: Vec<String> = items.iter().map(plain).collect();
            pairs.push((path.to_owned(), texts.join(",")));
        }
        Value::Null => {}
        v => pairs.push((path.to_owned(), plain(v))),
    }
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), normalize_name)
}

#[cfg(test)]
mod tests;
