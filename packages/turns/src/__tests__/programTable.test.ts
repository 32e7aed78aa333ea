import assert from 'node:assert/strict';
import test from 'node:test';
import { create } from '@bufbuild/protobuf';
import { ReservationSchema } from '@marjorampin/protocol';
import { ProgramTable } from '../programTable';

/** Reservations as `turn:tokens`, settled ones as `turn=tokens`; `others` is the last result. */
const CASES = [
  { name: 'returns no others for the first reservation', reserved: ['a:5'], others: [] },
  { name: 'returns the reservation of another turn', reserved: ['a:5', 'b:7'], others: ['a:5'] },
  // `b` was reserved earlier at another majority and copied here after the first call for `a`.
  {
    name: 'returns reservations copied since an earlier call for the same turn',
    reserved: ['a:5', 'b:7', 'a:5'],
    others: ['b:7'],
  },
  {
    name: 'returns the used tokens of a settled turn',
    reserved: ['a:5', 'a=2', 'b:7'],
    others: ['a=2'],
  },
  {
    name: 'preserves a settlement when a reservation is repeated late',
    reserved: ['a:5', 'a=2', 'a:5', 'b:7'],
    others: ['a=2'],
  },
];

CASES.forEach(({ name, reserved, others }) => {
  test(`ProgramTable.reserve ${name}`, () => {
    const table = new ProgramTable();
    const results = reserved.map((text) => {
      const [turn = '', tokens] = text.split(/[:=]/);
      const settled = text.includes('=');
      const reservation = create(ReservationSchema, { turn, tokens: Number(tokens), settled });
      return table.reserve('p', reservation, 1_000);
    });
    assert.deepEqual(
      results.at(-1)?.map(({ turn, tokens, settled }) => `${turn}${settled ? '=' : ':'}${tokens}`),
      others,
    );
  });
});
