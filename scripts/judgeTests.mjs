/**
 * Judges a test run: passes exactly the failures that KNOWN-RED.txt lists, prints them, and fails
 * on any other red test and on a listed one that has gone green.
 * An entry begins with `test: NAME`; the other lines of an entry are for readers.
 */
import { existsSync, readFileSync } from 'node:fs';

const [file, status] = process.argv.slice(2);
const output = readFileSync(file, 'utf8');
const listed = existsSync('KNOWN-RED.txt') ? readFileSync('KNOWN-RED.txt', 'utf8') : '';
const known = new Set([...listed.matchAll(/^test: (.+)$/gm)].map(([, name]) => name.trim()));
const failed = new Set(
  [...output.matchAll(/^not ok \d+ - (.+?)(?: # .*)?$/gm)].map(([, name]) => name.trim()),
);

const surprising = [...failed].filter((name) => !known.has(name));
const mended = [...known].filter((name) => !failed.has(name));
if (known.size > 0) console.log(`Known failing tests, passed over:\n${listed}`);
surprising.forEach((name) => console.log(`Failed: ${name}`));
mended.forEach((name) => console.log(`Listed in KNOWN-RED.txt but green, remove it: ${name}`));

// A run that broke off without naming a failed test is a failure as well.
const isUnexplained = status !== '0' && failed.size === 0;
if (isUnexplained) console.log(`The test run ended with ${status} and named no failed test.`);
process.exit(surprising.length + mended.length > 0 || isUnexplained ? 1 : 0);
