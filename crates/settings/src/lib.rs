//! Reads the settings of an installation, in the simulator's flat form or as nested JSON, into the decision
//! module's [`Settings`], and keeps the names of the items that these number.
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

/// Connect timeout if the settings have none (microseconds).
const DEFAULT_CONNECT_TIMEOUT_US: Micros = 1_000_000;

/// Typed access to settings by path, with default values.
struct Reader<'a> {
    fields: Fields<'a>,
}

impl<'a> Reader<'a> {
    fn list(&self, name: &str) -> Vec<&'a str> {
        self.fields.get(name).map(|v| v.split(',').filter(|s| !s.is_empty()).collect()).unwrap_or_default()
    }

    fn numbers(&self, name: &str) -> Result<Vec<f64>, FieldError> {
        self.list(name)
            .iter()
            .map(|v| v.parse::<f64>().ok().filter(|n| n.is_finite()))
            .collect::<Option<_>>()
            .ok_or_else(|| self.fields.error(name, "expected numbers separated by commas"))
    }

    fn time(&self, name: &str) -> Result<Micros, FieldError> {
        Ok(self.fields.time(name)?.unwrap_or(0))
    }

    fn count(&self, name: &str, default: usize) -> Result<usize, FieldError> {
        match self.fields.number(name)? {
            Some(v) if v < 0.0 => Err(self.fields.error(name, format!("expected a count, found {v}"))),
            v => Ok(v.map_or(default, |v| v as usize)),
        }
    }

    fn number(&self, name: &str, default: f64) -> Result<f64, FieldError> {
        Ok(self.fields.number(name)?.unwrap_or(default))
    }
}

/// Names, as used on the wire, of the items that the decision module knows by number.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Classes of messages.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of destinations.
    pub kinds: Vec<String>,
    /// Fields of a limit report, in the order of their values.
    pub report_fields: Vec<String>,
}

/// Returns a name in the form that the settings use: spaces and commas, which separate values on the
/// simulator's wire, become underscores.
pub fn normalize_name(name: &str) -> String {
    name.replace([' ', ','], "_")
}

/// Returns the index of a name.
pub fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// Reads settings given as pairs of path and value, in the form that [`from_json`] flattens them to.
///
/// # Errors
///
/// Fails if a setting is missing or malformed.
pub fn from_pairs(pairs: &[(String, String)]) -> Result<(Settings, Names), FieldError> {
    let pairs = pairs.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
    from_fields(Fields { line: 0, pairs })
}

/// Reads the limit that a destination reports, as pairs of name and value. Returns `None` if a value is not a
/// number.
pub fn parse_limit_report<'a>(values: impl Iterator<Item = (&'a str, &'a str)>) -> Option<LimitReport> {
    let mut report = LimitReport { limit: None, remaining: None };
    for (name, value) in values {
        let value = value.parse::<f64>().ok().filter(|v| v.is_finite())?;
        if name == "x1" {
            report.limit = Some(value).filter(|limit| *limit > 0.0);
        } else if name == "x0" {
            report.remaining = Some(value.clamp(0.0, 1.0));
        }
    }
    report.remaining = report.remaining.filter(|_| report.limit.is_some());
    Some(report)
}

fn owned(names: Vec<&str>) -> Vec<String> {
    names.into_iter().map(str::to_owned).collect()
}

/// Reads the settings from fields with paths as names, as on a line of the simulator's wire.
///
/// # Errors
///
/// Fails if a setting is missing or malformed.
pub fn from_fields(fields: Fields) -> Result<(Settings, Names), FieldError> {
    let reader = &Reader { fields };
    let mut names = Names {
        zones: owned(reader.list("zones")),
        kinds: owned(reader.list("kinds")),
        report_fields: owned(reader.list("report.fields")),
        ..Names::default()
    };
    let mut classes = Vec::new();
    for i in 0..reader.count("classes.count", 0)? {
        let path = |key: &str| format!("classes.{i}.{key}");
        let idempotency = path("idempotency");
        let effect = match reader.fields.required(&idempotency)? {
            "pure" => Effect::Safe,
            "side_effect" => Effect::Unsafe,
            "token" => {
                let scope = path("dedupScope");
                let per_zone = match reader.fields.get(&scope) {
                    Some("all") => false,
                    None | Some("zone" | "cell") => true,
                    Some(v) => {
                        return Err(reader
                            .fields
                            .error(&scope, format!("expected all, zone or cell, found {v:?}")));
                    }
                };
                Effect::Keyed { life: reader.time(&path("keyTtl"))?, per_zone }
            }
            v => {
                let expected = format!("expected pure, token or side_effect, found {v:?}");
                return Err(reader.fields.error(&idempotency, expected));
            }
        };
        names.classes.push(reader.fields.required(&path("name"))?.to_owned());
        classes.push(Class {
            effect,
            target_latency: reader.time(&path("goalTime"))?,
            deadline: reader.time(&path("deadline"))?,
            value: reader.number(&path("worth"), 1.0)?,
            deadline_value_share: reader.number(&path("lateShare"), 0.0)?,
            ordered: reader.fields.flag(&path("sequential"))?,
        });
    }
    let mut tenants = Vec::new();
    for i in 0..reader.count("realms.count", 0)? {
        names.tenants.push(reader.fields.required(&format!("realms.{i}.name"))?.to_owned());
        tenants.push(Tenant { quota: reader.number(&format!("realms.{i}.quotaRps"), f64::MAX)? });
    }
    let independent = reader.list("familyInfo.kindApart");
    let max_batch = reader.numbers("familyInfo.batchByKind")?;
    let kinds = (0..names.kinds.len())
        .map(|i| DestKind {
            independent_endpoints: matches!(independent.get(i), Some(&("true" | "1"))),
            max_batch: max_batch.get(i).map_or(1, |b| b.max(1.0) as usize),
        })
        .collect();
    let settings = Settings {
        classes,
        kinds,
        tenants,
        over_quota_value_factor: reader.number("overShareWorth", 1.0)?,
        decay: match reader.fields.get("familyInfo.decay") {
            Some("halves") => Decay::Exponential,
            None | Some("line") => Decay::Linear,
            Some(v) => {
                return Err(reader
                    .fields
                    .error("familyInfo.decay", format!("expected line or halves, found {v:?}")));
            }
        },
        zone: reader.fields.get("zone").and_then(|z| index_of(&names.zones, z)).unwrap_or(usize::MAX),
        senders: reader.count("peersTotal", 1)?,
        slots: reader.count("familyInfo.slots", usize::MAX)?,
        max_held_messages: reader.count("limits.openCap", usize::MAX)?,
        max_attempts: reader.count("limits.maxAttempts", usize::MAX)?,
        may_cancel: reader.fields.flag("limits.cancel")?,
        may_overlap_attempts: reader.fields.get("limits.mayDuplicate").is_none()
            || reader.fields.flag("limits.mayDuplicate")?,
        may_send_retry_after: reader.fields.flag("limits.retryAfter")?,
        max_retry_after: reader.time("limits.maxRetryAfter")?,
        must_subscribe: match reader.fields.get("discovery") {
            Some("ask") => true,
            None | Some("push") => false,
            Some(v) => {
                return Err(reader.fields.error("discovery", format!("expected push or ask, found {v:?}")));
            }
        },
        weights: match reader.fields.get("weights") {
            Some("nominal") => Weights::Nominal,
            Some("rough") => Weights::Rough,
            // Live weights change with the load and so are no limit.
            None | Some("off" | "none" | "live") => Weights::Off,
            Some(v) => {
                let expected = format!("expected off, nominal, rough or live, found {v:?}");
                return Err(reader.fields.error("weights", expected));
            }
        },
        idle_timeout: reader.time("limits.idleClose")?,
        connect_timeout: reader.fields.time("limits.connectTimeout")?.unwrap_or(DEFAULT_CONNECT_TIMEOUT_US),
        min_turn_interval: reader.time("round")?,
        overload_factor: reader.number("guarantees.fallMultiple", 1.0)?,
        overload_duration: reader.time("guarantees.overloadFor")?,
        initial_capacity_share: reader.number("guarantees.startCapacity", 0.0)?,
        warm_up_duration: reader.time("guarantees.warmAfter")?,
        ordered_key_gap: reader.time("guarantees.turnGap")?,
    };
    Ok((settings, names))
}

/// Reads settings given as nested JSON.
///
/// # Errors
///
/// Fails if a setting is missing or malformed.
pub fn from_json(settings: &Value) -> Result<(Settings, Names), FieldError> {
    let mut pairs = Vec::new();
    flatten("", settings, &mut pairs);
    from_pairs(&pairs)
}

/// Converts nested settings to the form of the simulator's wire: pairs of path and value, with plain lists
/// joined by commas, and lists of objects numbered and preceded by their count.
fn flatten(path: &str, value: &Value, pairs: &mut Vec<(String, String)>) {
    let child = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(key, v)| flatten(&child(key), v, pairs)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((child("count"), items.len().to_string()));
            items.iter().enumerate().for_each(|(i, v)| flatten(&child(&i.to_string()), v, pairs));
        }
        Value::Array(items) => {
            let texts: Vec<String> = items.iter().map(plain_text).collect();
            pairs.push((path.to_owned(), texts.join(",")));
        }
        Value::Null => {}
        v => pairs.push((path.to_owned(), plain_text(v))),
    }
}

fn plain_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), normalize_name)
}

#[cfg(test)]
mod tests;
