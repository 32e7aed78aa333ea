import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import test from 'node:test';
import { fileURLToPath } from 'node:url';
import { extractTables, renderCapacityTables } from '../capacity/capacityPage';
import { fitSlope } from '../capacity/slope';

const DOCS = join(dirname(fileURLToPath(import.meta.url)), '../../../../docs');

test('the tables of CAPACITY.md match the figures in capacity.json', () => {
  const results = JSON.parse(readFileSync(join(DOCS, 'capacity.json'), 'utf8'));
  const page = readFileSync(join(DOCS, 'CAPACITY.md'), 'utf8');
  const collapseWhitespace = (text: string) => text.replace(/[\s|-]+/g, ' ').trim();
  assert.equal(
    collapseWhitespace(extractTables(page)),
    collapseWhitespace(renderCapacityTables(results)),
  );
});

test('fitSlope returns slope, intercept and residual of points on a line', () => {
  const exact = fitSlope([
    { size: 1, value: 12 },
    { size: 2, value: 14 },
    { size: 4, value: 18 },
  ]);
  assert.ok(Math.abs(exact.perUnit - 2) < 1e-9);
  assert.ok(Math.abs(exact.intercept - 10) < 1e-9);
  assert.ok(exact.residual < 1e-9);
});
