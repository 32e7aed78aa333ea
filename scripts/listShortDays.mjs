/**
 * Lists the days of journal entries that are short of their gate, and the worth that each class of calls
 * earned: `node scripts/listShortDays.mjs [ID ...]`, all entries by default.
 */
import { readdirSync, readFileSync } from 'node:fs';

const FOLDER = 'journal';
const ids = process.argv.slice(2);

const isSelected = (name) => ids.length === 0 || ids.some((id) => name.includes(id));
const entries = readdirSync(FOLDER)
  .filter((name) => name.endsWith('.json') && isSelected(name))
  .map((name) => JSON.parse(readFileSync(`${FOLDER}/${name}`, 'utf8')));

entries.forEach(({ id, head = '', site, days = [] }) => {
  days.forEach(({ name, gate, short = [], by_class: worths = [] }) => {
    const earned = worths.filter((worth) => worth !== null).join(', ');
    const verdict = gate ? 'passed' : 'short';
    console.log(`${id} ${head.slice(0, 7)} ${site} ${name}: ${verdict}; worth by class ${earned}`);
    short.forEach((reason) => console.log(`  ${reason}`));
  });
});
