import { ProblemError } from '@marjorampin/client';
import { SettingsError } from '@marjorampin/settings';

/** Exit codes of `marjorampin`. */
export const ExitCode = {
  ok: 0,
  /** Any failure without an exit code of its own. */
  failure: 1,
  /** The command line is invalid. */
  usage: 2,
  /** A settings or configuration file is invalid. */
  settings: 3,
  /** An entry refused the request. */
  refused: 4,
} as const;

/** Prints an error to standard error and sets the exit code for its type. */
export function printError(error: unknown): void {
  console.error(error instanceof Error ? error.message : String(error));
  if (error instanceof SettingsError) process.exitCode = ExitCode.settings;
  else if (error instanceof ProblemError) process.exitCode = ExitCode.refused;
  else process.exitCode = ExitCode.failure;
}
