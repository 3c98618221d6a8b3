//! Suggestions for misspelt words.

/// Returns the candidate closest to `word`, if any is close enough to be a misspelling.
///
/// The limit is one edit per three characters; a higher one would suggest unrelated words.
pub fn nearest<'a>(word: &str, candidates: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let length = word.chars().count();
    // Longer input is not a misspelt keyword, and computing the distance takes quadratic time.
    if length == 0 || length > 64 {
        return None;
    }
    let (distance, candidate) = candidates
        .into_iter()
        .map(|candidate| (strsim::damerau_levenshtein(word, candidate), candidate))
        .min()?;
    // At distance 0 the word is spelt correctly, but in the wrong place.
    (1..=length.div_ceil(3)).contains(&distance).then_some(candidate)
}
