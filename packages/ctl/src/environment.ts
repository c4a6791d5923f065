/** Environment variables and output streams of the process. */
export interface CliEnvironment {
  readonly env: Readonly<Record<string, string | undefined>>;
  readonly out: (text: string) => void;
  readonly err: (text: string) => void;
}
