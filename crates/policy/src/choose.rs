//! Which upstream of a service gets a request.

/// An upstream that may get the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice<K> {
    /// Its key.
    pub key: K,
    /// What one more request costs there.
    pub cost: f32,
    /// Whether it stands in this host's own data centre.
    pub is_local: bool,
}

/// Costs within this factor of the least count as equal, so that hosts that see the same state
/// don't all send to the same upstream.
const EQUAL_WITHIN: f32 = 1.15;
/// What an upstream in another data centre costs more: the way there and its price by the byte.
const FAR_FACTOR: f32 = 1.10;

/// The cheapest upstream; `draw` (0 to 1) decides between equals.
pub fn choose<K: Copy>(choices: &[Choice<K>], draw: f32) -> Option<K> {
    let cost = |choice: &Choice<K>| choice.cost * if choice.is_local { 1.0 } else { FAR_FACTOR };
    let least = choices.iter().map(cost).min_by(f32::total_cmp)?;
    let equal: Vec<&Choice<K>> = choices
        .iter()
        .filter(|choice| cost(choice) <= least * EQUAL_WITHIN)
        .collect();
    let place = (draw * equal.len() as f32) as usize;
    equal
        .get(place.min(equal.len() - 1))
        .map(|choice| choice.key)
}
