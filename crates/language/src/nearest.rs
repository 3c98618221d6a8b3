//! The known word closest to a misspelt one.

/// Returns the candidate closest to `word`, if any is close enough to be a misspelling.
///
/// Up to one edit for each three characters counts as close; more suggests unrelated words.
pub fn nearest<'a>(word: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let length = word.chars().count();
    // Longer input is no misspelt keyword, and the distance takes quadratic time.
    if length == 0 || length > 64 {
        return None;
    }
    let (distance, candidate) = candidates
        .into_iter()
        .map(|candidate| (strsim::damerau_levenshtein(word, candidate), candidate))
        .min()?;
    // The word itself is spelt right, and stands in the wrong place.
    (1..=length.div_ceil(3)).contains(&distance).then_some(candidate)
}
