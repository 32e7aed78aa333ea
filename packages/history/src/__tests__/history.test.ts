import assert from 'node:assert/strict';
import { appendFileSync, mkdirSync, mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import test from 'node:test';
import type { Segment } from '@marjorampin/types';
import fc from 'fast-check';
import { type Continuation, openContinuation, sealContinuation } from '../continuation';
import { DiskHistoryStore } from '../diskHistoryStore';
import { createSegment, isValidChain } from '../segmentChain';

const SEED = 20261204;
const KEYS = [1, 2].map((number) => ({
  number,
  secret: Buffer.alloc(32, number).toString('base64'),
}));

const CONTINUATION: Continuation = {
  program: 'customer.0007.0123456789abcdef01234567',
  customer: 'customer',
  parent: '',
  turn: 3,
  digest: 'd',
  granted: 100,
  spent: 10,
  epoch: 2,
  holders: ['entry-0'],
  endpoints: [],
  expiresMs: 1,
};

function createChain(answers: string[]): Segment[] {
  const chain: Segment[] = [];
  answers.forEach((answer, index) => {
    chain.push(
      createSegment({
        program: 'p',
        turn: index + 1,
        kind: 'model',
        request: `r${index}`,
        requestDigest: '',
        answer,
        previousDigest: chain.at(-1)?.digest ?? '',
        spent: index,
      }),
    );
  });
  return chain;
}

test('a chain with a changed, missing or reordered turn is invalid', () => {
  fc.assert(
    fc.property(
      fc.array(fc.string(), { minLength: 2, maxLength: 6 }),
      fc.nat(),
      fc.constantFrom('change', 'remove', 'swap'),
      (answers, position, alteration) => {
        const chain = createChain(answers);
        assert.ok(isValidChain(chain));
        const index = position % (chain.length - 1);
        const alteredChain = [...chain];
        const [one, next] = [chain[index] as Segment, chain[index + 1] as Segment];
        if (alteration === 'change') alteredChain[index] = { ...one, answer: `${one.answer}!` };
        if (alteration === 'remove') alteredChain.splice(index, 1);
        if (alteration === 'swap') alteredChain.splice(index, 2, next, one);
        assert.ok(!isValidChain(alteredChain));
      },
    ),
    { seed: SEED, numRuns: 500 },
  );
});

test('a sealed continuation opens only for its customer and only if no character was altered', () => {
  const sealed = sealContinuation(CONTINUATION, KEYS);
  assert.deepEqual(openContinuation(sealed, KEYS, 'customer').unwrap(), CONTINUATION);
  const foreign = openContinuation(sealed, KEYS, 'other');
  assert.equal(foreign.err && foreign.val.kind, 'forbidden');
  // The last character is left out: two of its six bits are unused, so an altered one may decode to
  // the same MAC.
  fc.assert(
    fc.property(fc.nat({ max: sealed.length - 2 }), (index) => {
      const changed = sealed[index] === 'A' ? 'B' : 'A';
      const altered = `${sealed.slice(0, index)}${changed}${sealed.slice(index + 1)}`;
      assert.ok(openContinuation(altered, KEYS, 'customer').err);
    }),
    { seed: SEED, numRuns: 300 },
  );
});

test('a continuation sealed with an older key opens while that key is configured', () => {
  const sealed = sealContinuation(CONTINUATION, KEYS.slice(0, 1));
  assert.ok(openContinuation(sealed, KEYS, 'customer').ok);
  assert.ok(openContinuation(sealed, KEYS.slice(1), 'customer').err);
});

test('stored turns survive a restart and a line that a crash truncated', async (context) => {
  const folder = mkdtempSync(join(tmpdir(), 'marjorampin-history-'));
  context.after(() => rmSync(folder, { recursive: true }));
  const [first, second, third] = createChain(['a', 'b', 'c']) as [Segment, Segment, Segment];
  const before = new DiskHistoryStore({ folder });
  await before.store(first);
  await before.store(second);
  appendFileSync(join(folder, 'history', 'p.ndjson'), '\n{"program":"p","tu');
  const after = new DiskHistoryStore({ folder });
  assert.deepEqual(await after.read('p'), [first, second]);
  await after.store(third);
  assert.deepEqual(await after.read('p'), [first, second, third]);
  assert.deepEqual(await after.programs(), ['p']);
});

/** What stands at the path of a store's folder or file, and whether it is read as empty. */
const UNREADABLE = [
  { name: 'a missing file', path: undefined, isEmpty: true },
  { name: 'a folder in place of a history', path: 'history/p.ndjson/x', isEmpty: false },
];

UNREADABLE.forEach(({ name, path, isEmpty }) => {
  test(`${name} is ${isEmpty ? 'an empty history' : 'not an empty history'}`, async (context) => {
    const folder = mkdtempSync(join(tmpdir(), 'marjorampin-history-'));
    context.after(() => rmSync(folder, { recursive: true }));
    if (path) mkdirSync(join(folder, path), { recursive: true });
    const read = new DiskHistoryStore({ folder }).read('p');
    if (isEmpty) assert.deepEqual(await read, []);
    else await assert.rejects(read, { code: 'EISDIR' });
  });
});

test('a file in place of the folder of histories is not an empty store', async (context) => {
  const folder = mkdtempSync(join(tmpdir(), 'marjorampin-history-'));
  context.after(() => rmSync(folder, { recursive: true }));
  appendFileSync(join(folder, 'history'), 'x');
  await assert.rejects(new DiskHistoryStore({ folder }).programs(), { code: 'ENOTDIR' });
});
