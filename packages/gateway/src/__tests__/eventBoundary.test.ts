import assert from 'node:assert/strict';
import test from 'node:test';
import { EventBoundary } from '../eventBoundary';
import { WholeEvents } from '../wholeEvents';

/** Line breaks that end the lines of a stream of server-sent events. */
const CASES = [
  { name: 'line feeds', lineBreak: '\n' },
  { name: 'carriage returns with line feeds', lineBreak: '\r\n' },
  { name: 'carriage returns', lineBreak: '\r' },
];

CASES.forEach(({ name, lineBreak }) => {
  const event = `id: 1${lineBreak}data: a${lineBreak}${lineBreak}`;
  const stream = event.repeat(3);

  test(`events with ${name} are held back although they are complete`, () => {
    const events = new WholeEvents();
    const begun = 'data: b';
    assert.equal(events.next(Buffer.from(stream + begun)).toString(), stream);
  });

  test(`part of an event with ${name} is passed on`, () => {
    for (let split = 0; split <= stream.length; split += 1) {
      const events = new WholeEvents();
      const boundary = new EventBoundary();
      const first = Buffer.from(stream.slice(0, split));
      const passed = events.next(first).length;
      boundary.read(first);
      assert.equal(boundary.isInsideEvent, passed < split, `after ${split} bytes`);
      const rest = events.next(Buffer.from(stream.slice(split)));
      assert.equal(passed + rest.length, stream.length);
    }
  });
});
