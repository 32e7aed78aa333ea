import assert from 'node:assert/strict';
import { readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import test from 'node:test';
import { fileURLToPath } from 'node:url';
import { renderEventCatalog } from '../eventCatalog';
import { EVENTS } from '../events';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../../../..');
const PAGE = join(ROOT, 'docs/events.md');

function readSources(): string {
  return ['packages', 'platform']
    .flatMap((folder) =>
      readdirSync(join(ROOT, folder), { recursive: true, encoding: 'utf8' }).map((path) =>
        join(folder, path),
      ),
    )
    .filter((path) => path.endsWith('.ts') && !/__tests__|node_modules|events\.ts/.test(path))
    .map((path) => readFileSync(join(ROOT, path), 'utf8'))
    .join('\n');
}

test('docs/events.md matches the event definitions', () => {
  const page = renderEventCatalog();
  if (process.env.UPDATE_DOCS === '1') writeFileSync(PAGE, page);
  const collapseWhitespace = (text: string) => text.replace(/[\s|-]+/g, ' ').trim();
  assert.equal(collapseWhitespace(readFileSync(PAGE, 'utf8')), collapseWhitespace(page));
});

test('event numbers are unique', () => {
  const numbers = Object.values(EVENTS).map(({ number }) => number);
  assert.equal(new Set(numbers).size, numbers.length);
});

test('every event is used in a source file', () => {
  const text = readSources();
  const unused = Object.keys(EVENTS).filter((name) => !text.includes(`'${name}'`));
  assert.deepEqual(unused, []);
});
