import { ProblemError } from '@marjorampin/client';
import { SettingsError } from '@marjorampin/settings';

/** Exit codes of the program. */
export const ExitCode = {
  ok: 0,
  /** Something failed while the command ran. */
  failure: 1,
  /** The command line is wrong. */
  usage: 2,
  /** Settings or a configuration file are wrong. */
  settings: 3,
  /** The system refused the request. */
  refused: 4,
} as const;

/** Prints an error and sets the exit code that belongs to it. */
export function printError(error: unknown): void {
  console.error(error instanceof Error ? error.message : String(error));
  if (error instanceof SettingsError) process.exitCode = ExitCode.settings;
  else if (error instanceof ProblemError) process.exitCode = ExitCode.refused;
  else process.exitCode = ExitCode.failure;
}
