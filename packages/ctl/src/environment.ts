/** Environment variables and output functions; replaced in tests. */
export interface CliEnvironment {
  readonly env: Readonly<Record<string, string | undefined>>;
  readonly out: (text: string) => void;
  readonly err: (text: string) => void;
}
