//! Max-min fair division of a pool between requests.

/// Divides a pool by water filling: no share exceeds its request, and no share can grow without another that
/// is not larger shrinking. Shares are integers, so up to one unit per member may stay undivided.
///
/// ```
/// use yarrowhill_rights::water_fill;
/// assert_eq!(water_fill(10, &[2, 9, 0, 9]), [2, 4, 0, 4]);
/// assert_eq!(water_fill(100, &[2, 9]), [2, 9]);
/// ```
pub fn water_fill(pool: u64, requests: &[u64]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..requests.len()).collect();
    order.sort_unstable_by_key(|n| requests[*n]);
    let mut shares = vec![0; requests.len()];
    let (mut left, mut members) = (pool, requests.len() as u64);
    for n in order {
        let share = requests[n].min(left / members.max(1));
        shares[n] = share;
        left -= share;
        members -= 1;
    }
    shares
}

#[cfg(test)]
mod tests;
