/** Exit codes of wisteriactl; the help text lists them. */
export const EXIT_CODES = {
  ok: 0,
  /** An operator port refused the request, or no log line names the request. */
  refused: 1,
  /** Unknown command or option, or a bad value. */
  usage: 2,
  /**
   * No operator port or VM gave a usable answer, or the log service is not
   * available.
   */
  unreachable: 3,
  /**
   * Some operator ports or VMs gave no usable answer; the output covers the
   * others.
   */
  partial: 4,
  /**
   * A file cannot be read or written, or a bundle or key is invalid; nothing was
   * published.
   */
  invalid: 5,
  /**
   * The bundle was rejected, for example because another version was accepted
   * first; it is not in force.
   */
  rejected: 6,
  /** The bundle may or may not be in force. */
  uncertain: 7,
} as const;

/** Exit codes as the help text lists them. */
export const EXIT_CODE_HELP = `
Exit codes:
  0  success
  1  an operator port refused the request, or no log line names the request
  2  unknown command or option, or a bad value
  3  no operator port or VM gave a usable answer, or the log service is not
     available
  4  some operator ports or VMs gave no usable answer; the output covers the
     others
  5  a file cannot be read or written, or a bundle or key is invalid; nothing
     was published
  6  the bundle was rejected and is not in force; the message gives the reason,
     for example that another version was accepted first
  7  the bundle may or may not be in force; run the command again`;
