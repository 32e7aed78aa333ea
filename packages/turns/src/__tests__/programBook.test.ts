import assert from 'node:assert/strict';
import test from 'node:test';
import { create } from '@bufbuild/protobuf';
import { ReservationSchema } from '@marjorampin/protocol';
import { ProgramBook } from '../programBook';

/** Reservations as `turn:tokens`, settled ones as `turn=tokens`, and what the last one is told. */
const CASES = [
  { name: 'the first one', reserved: ['a:5'], others: [] },
  { name: 'one after another', reserved: ['a:5', 'b:7'], others: ['a:5'] },
  // Copied from another keeper after the first try: it was made before, with another majority.
  { name: 'one that is repeated', reserved: ['a:5', 'b:7', 'a:5'], others: ['b:7'] },
  { name: 'one after a settlement', reserved: ['a:5', 'a=2', 'b:7'], others: ['a=2'] },
  { name: 'one after a late repetition', reserved: ['a:5', 'a=2', 'a:5', 'b:7'], others: ['a=2'] },
];

CASES.forEach(({ name, reserved, others }) => {
  test(`reservations of a program: ${name}`, () => {
    const book = new ProgramBook();
    const told = reserved.map((text) => {
      const [turn = '', tokens] = text.split(/[:=]/);
      const settled = text.includes('=');
      const reservation = create(ReservationSchema, { turn, tokens: Number(tokens), settled });
      return book.reserve('p', reservation, 1_000);
    });
    assert.deepEqual(
      told.at(-1)?.map(({ turn, tokens, settled }) => `${turn}${settled ? '=' : ':'}${tokens}`),
      others,
    );
  });
});
