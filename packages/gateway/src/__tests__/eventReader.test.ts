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

/** A stream in which `é` and the byte order mark have several bytes, and the output after any split. */
const STREAMS = [
  { name: 'ASCII', stream: 'data: ab\n\ndata: c\n\n', output: 'ab\nc\n' },
  { name: 'longer characters', stream: 'data: a\n\ndata: é€😀\n\n', output: 'a\né€😀\n' },
  { name: 'a byte order mark at the start', stream: '\uFEFFdata: a\n\n', output: 'a\n' },
  { name: 'a byte order mark later', stream: 'data: a\uFEFFb\n\n', output: 'a\uFEFFb\n' },
];

STREAMS.forEach(({ name, stream, output }) => {
  test(`EventReader decodes ${name}`, () => {
    const bytes = Buffer.from(stream);
    for (let split = 0; split <= bytes.length; split += 1) {
      const reader = new EventReader();
      reader.read(bytes.subarray(0, split));
      reader.read(bytes.subarray(split));
      assert.equal(reader.output.toString(), output, `after ${split} bytes`);
    }
  });
});
