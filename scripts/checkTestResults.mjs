/**
 * Checks the results of a test run against KNOWN-RED.txt: prints the listed failures and ignores
 * them, and fails on any other failed test and on a listed test that did not fail.
 * An entry for a test begins with `test: NAME`, one for a day of the bench with `day: NAME`; the other
 * lines are free text.
 */
import { existsSync, readFileSync } from 'node:fs';

/** Number of test runs that `npm test` consists of. */
const TEST_RUNS = 2;

const [file, status] = process.argv.slice(2);
const output = readFileSync(file, 'utf8');
const listed = existsSync('KNOWN-RED.txt') ? readFileSync('KNOWN-RED.txt', 'utf8') : '';
const known = new Set([...listed.matchAll(/^test: (.+)$/gm)].map(([, name]) => name.trim()));
const failed = new Set(
  [...output.matchAll(/^not ok \d+ - (.+?)(?: # .*)?$/gm)].map(([, name]) => name.trim()),
);

const unexpected = [...failed].filter((name) => !known.has(name));
const notFailing = [...known].filter((name) => !failed.has(name));
if (listed.trim() !== '')
  console.log(`Known failures; failed tests among them are ignored:\n${listed}`);
unexpected.forEach((name) => console.log(`Failed: ${name}`));
notFailing.forEach((name) =>
  console.log(`Listed in KNOWN-RED.txt but did not fail, remove the entry: ${name}`),
);

// A run that stops early without reporting a failed test also counts as failed.
const summaries = output.match(/^# fail \d+$/gm) ?? [];
const isIncomplete = summaries.length < TEST_RUNS;
if (isIncomplete)
  console.log(`Only ${summaries.length} of ${TEST_RUNS} test runs were played to their end.`);
const isUnexplained = status !== '0' && failed.size === 0;
if (isUnexplained) console.log(`The test run exited with ${status} but reported no failed test.`);
process.exit(unexpected.length + notFailing.length > 0 || isIncomplete || isUnexplained ? 1 : 0);
