/** Suggestions for mistyped names. */

/** Largest edit distance between a mistyped name and its suggestion. */
const MAX_EDITS = 3;

function editDistance(left: string, right: string): number {
  let previous = Array.from({length: right.length + 1}, (_, index) => index);
  for (let row = 1; row <= left.length; row++) {
    const current = [row];
    for (let column = 1; column <= right.length; column++) {
      const substitutionCost = left[row - 1] === right[column - 1] ? 0 : 1;
      current.push(
        Math.min(
          (previous[column] ?? 0) + 1,
          (current[column - 1] ?? 0) + 1,
          (previous[column - 1] ?? 0) + substitutionCost,
        ),
      );
    }
    previous = current;
  }
  return previous[right.length] ?? 0;
}

/**
 * Finds the known name that is most similar to a mistyped one.
 *
 * @param name - Name as typed.
 * @param known - Names that exist.
 * @returns The known name with the smallest edit distance, or null when none is
 * within `MAX_EDITS`.
 */
export function nearestName(
  name: string,
  known: readonly string[],
): string | null {
  let best: string | null = null;
  let bestDistance = MAX_EDITS + 1;
  for (const candidate of known) {
    const distance = editDistance(name, candidate);
    if (distance < bestDistance) {
      best = candidate;
      bestDistance = distance;
    }
  }
  return best;
}
