import assert from 'node:assert/strict';
import test from 'node:test';
import { EventReader } from '../eventReader';

/** Chunks of a stream, and the number of events that they begin. */
const CASES = [
  { name: 'one whole event', chunks: ['data: 1\n\n'], startedCount: 1 },
  { name: 'an event in two chunks', chunks: ['data: 1', '2\n\n'], startedCount: 1 },
  { name: 'an incomplete last event', chunks: ['data: 1\n\ndata'], startedCount: 2 },
  { name: 'an event whose end is split', chunks: ['data: 1\n', '\n'], startedCount: 1 },
];

CASES.forEach(({ name, chunks, startedCount }) => {
  test(`EventReader counts ${name}`, () => {
    const reader = new EventReader();
    chunks.forEach((chunk) => reader.read(Buffer.from(chunk)));
    assert.equal(reader.startedCount, startedCount);
  });
});
