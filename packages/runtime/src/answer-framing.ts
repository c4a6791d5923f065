/** How the end of an HTTP answer is marked. */

/**
 * Tells whether only the end of the connection ends an answer.
 *
 * @param headers - Headers of the answer, by lower-case name.
 * @returns False for an answer with a length or in chunks.
 */
export function isDelimitedByClose(
  headers: Readonly<Record<string, unknown>>,
): boolean {
  return (
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  );
}
