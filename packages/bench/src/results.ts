import { mkdirSync, writeFileSync } from 'node:fs';

const FOLDER = 'bench-results';

/** Writes a benchmark's figures as JSON and returns the path. */
export function writeResults(name: string, results: unknown): string {
  mkdirSync(FOLDER, { recursive: true });
  const path = `${FOLDER}/${name}.json`;
  writeFileSync(path, `${JSON.stringify(results, null, 2)}\n`);
  return path;
}
