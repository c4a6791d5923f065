/** Exit codes of wisteriactl; the help text lists them. */
export const EXIT_CODES = {
  ok: 0,
  /** An operator port refused the request. */
  refused: 1,
  /** Unknown command or option, or a bad value. */
  usage: 2,
  /** No operator port answered. */
  unreachable: 3,
  /** Some operator ports did not answer; the output covers the others. */
  partial: 4,
} as const;

/** Text for the help. */
export const EXIT_CODE_HELP = `
Exit codes:
  0  success
  1  an operator port refused the request
  2  unknown command or option, or a bad value
  3  no operator port answered
  4  some operator ports did not answer; the output covers the others`;
