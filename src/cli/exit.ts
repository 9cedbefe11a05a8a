/** Exit codes of the command line. */
export enum ExitCode {
  Success = 0,
  /** The command ran and found a fault, such as an invalid document. */
  Failure = 1,
  /** A flag, variable or setting is wrong. */
  Usage = 2,
  /** A service the command needs could not be reached. */
  Unavailable = 3,
}

/** Prints one line on standard error and ends the process. */
export function exitWithError(code: ExitCode, line: string): never {
  process.stderr.write(`gypsumcourse: ${line}\n`);
  process.exit(code);
}
