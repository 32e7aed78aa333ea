import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import test from 'node:test';
import { fileURLToPath } from 'node:url';
import { extractTables, renderCapacityTables } from '../capacity/capacityPage';
import { fitSlope } from '../capacity/slope';

const DOCS = join(dirname(fileURLToPath(import.meta.url)), '../../../../docs');

test('the tables of CAPACITY.md are made from the measured figures', () => {
  const results = JSON.parse(readFileSync(join(DOCS, 'capacity.json'), 'utf8'));
  const page = readFileSync(join(DOCS, 'CAPACITY.md'), 'utf8');
  const words = (text: string) => text.replace(/[\s|-]+/g, ' ').trim();
  assert.equal(words(extractTables(page)), words(renderCapacityTables(results)));
});

test('a slope is fitted with its residual', () => {
  const exact = fitSlope([
    { size: 1, value: 12 },
    { size: 2, value: 14 },
    { size: 4, value: 18 },
  ]);
  assert.ok(Math.abs(exact.perUnit - 2) < 1e-9);
  assert.ok(Math.abs(exact.intercept - 10) < 1e-9);
  assert.ok(exact.residual < 1e-9);
});
