import { existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';

const FOLDER = 'bench-results';

/** Writes a benchmark's results as JSON and returns the path. */
export function writeResults(name: string, results: unknown): string {
  mkdirSync(FOLDER, { recursive: true });
  const path = `${FOLDER}/${name}.json`;
  writeFileSync(path, `${JSON.stringify(results, null, 2)}\n`);
  return path;
}

/** Reads a benchmark's results; undefined when none are stored. */
export function readResults<Results>(name: string): Results | undefined {
  const path = `${FOLDER}/${name}.json`;
  if (!existsSync(path)) return undefined;
  return JSON.parse(readFileSync(path, 'utf8')) as Results;
}
