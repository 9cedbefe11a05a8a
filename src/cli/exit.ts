/** Exit codes of the command line. */
export enum ExitCode {
  Success = 0,
  /** The command ran with a negative result, such as an invalid document. */
  Failure = 1,
  /** A flag, environment variable, setting or file is invalid. */
  Usage = 2,
  /** A service that the command needs could not be reached. */
  Unavailable = 3,
}

/** Prints one line on standard error and exits with `code`. */
export function exitWithError(code: ExitCode, line: string): never {
  process.stderr.write(`gypsumcourse: ${line}\n`);
  process.exit(code);
}
