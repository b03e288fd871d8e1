//! Selection of the upstream of a service that gets a request.

/// An upstream that can get the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice<K> {
    /// Its key.
    pub key: K,
    /// Cost of one more request there.
    pub cost: f32,
    /// Whether it is in this host's data centre.
    pub is_local: bool,
}

/// Costs within this factor of the lowest count as equal, so that hosts with the same view don't
/// all send to the same upstream.
const EQUAL_COST_FACTOR: f32 = 1.15;
/// Cost factor of an upstream in another data centre, for network latency and traffic billed by
/// the byte.
const REMOTE_COST_FACTOR: f32 = 1.10;

/// Returns the cheapest upstream. `draw` (0 to 1) decides between equals.
pub fn choose<K: Copy>(choices: &[Choice<K>], draw: f32) -> Option<K> {
    let cost = |choice: &Choice<K>| {
        choice.cost
            * if choice.is_local {
                1.0
            } else {
                REMOTE_COST_FACTOR
            }
    };
    let lowest = choices.iter().map(cost).min_by(f32::total_cmp)?;
    let equal: Vec<&Choice<K>> = choices
        .iter()
        .filter(|choice| cost(choice) <= lowest * EQUAL_COST_FACTOR)
        .collect();
    let index = (draw * equal.len() as f32) as usize;
    equal
        .get(index.min(equal.len() - 1))
        .map(|choice| choice.key)
}
