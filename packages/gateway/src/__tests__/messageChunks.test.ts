import assert from 'node:assert/strict';
import type http from 'node:http';
import { Readable } from 'node:stream';
import test from 'node:test';
import { readChunks } from '../messageChunks';

/** Returns a message whose body has the chunks `a`, `b` and `c`. */
function createMessage(): http.IncomingMessage {
  const left = ['a', 'b', 'c'];
  const stream = new Readable({
    read() {
      const chunk = left.shift();
      this.push(chunk === undefined ? null : Buffer.from(chunk));
    },
  });
  return stream as http.IncomingMessage;
}

const later = () =>
  new Promise<void>((resolve) => {
    setImmediate(resolve);
  });

interface Case {
  name: string;
  /** Is called with each chunk. */
  handle(chunk: string, message: http.IncomingMessage): Promise<void> | undefined;
  /** Chunks that are passed on. */
  received: string;
  /** Message of the error, undefined if the body is read to its end. */
  failure: RegExp | undefined;
}

const CASES: Case[] = [
  { name: 'to its end', handle: () => undefined, received: 'abc', failure: undefined },
  { name: 'to its end by a slow reader', handle: later, received: 'abc', failure: undefined },
  {
    name: 'until the reader throws',
    handle: (chunk) => {
      if (chunk === 'b') throw new Error('too large');
      return undefined;
    },
    received: 'ab',
    failure: /too large/,
  },
  {
    name: 'until a slow reader fails',
    handle: (chunk) => later().then(() => assert.notEqual(chunk, 'b', 'not writable')),
    received: 'ab',
    failure: /not writable/,
  },
  {
    name: 'until an error',
    handle: (_, message) => {
      message.destroy(new Error('reset'));
      return undefined;
    },
    received: 'a',
    failure: /reset/,
  },
  {
    name: 'until its connection closes',
    handle: (_, message) => {
      message.destroy();
      return undefined;
    },
    received: 'a',
    failure: /closed prematurely/,
  },
];

CASES.forEach(({ name, handle, received, failure }) => {
  test(`a body is read ${name}`, async () => {
    const message = createMessage();
    let chunks = '';
    let running = 0;
    const reading = readChunks(message, (bytes) => {
      chunks += bytes.toString();
      assert.equal(running, 0, 'the next chunk waits for the reader');
      running += 1;
      const handled = handle(bytes.toString(), message);
      if (!handled) running -= 1;
      return handled?.finally(() => {
        running -= 1;
      });
    });
    if (failure) await assert.rejects(reading, failure);
    else await reading;
    assert.equal(chunks, received);
  });
});

test('a body that was interrupted before it is read is rejected', async () => {
  const message = createMessage();
  message.on('error', () => undefined);
  message.destroy(new Error('reset'));
  const reading = readChunks(message, () => assert.fail('a chunk was passed on'));
  await assert.rejects(reading, /reset/);
});

test('a body whose rest is dropped while its reader is slow is rejected', async () => {
  const message = createMessage();
  let received = '';
  const reading = readChunks(message, (chunk) => {
    received += chunk.toString();
    // As Node.js does when the request of an answer is aborted.
    message.removeAllListeners('data');
    message.resume();
    return later();
  });
  await assert.rejects(reading, /closed prematurely/);
  assert.equal(received, 'a');
});
