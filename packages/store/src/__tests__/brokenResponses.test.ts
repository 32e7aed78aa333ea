import assert from 'node:assert/strict';
import test from 'node:test';
import { RawStandin, type RawResponder, writeWithoutEnd } from '@marjorampin/standins';
import { SystemClock } from '@marjorampin/types';
import { HttpKeyValueStore } from '../httpKeyValueStore';

/** Bytes that a store may send before its connection is closed: the limit of 32 MiB for a response,
 * and what the kernel's buffers of both ends hold. */
const MAXIMUM_SENT_BYTES = 48 * 1024 * 1024;
/** Long enough that the limit of bytes ends the requests, not the timeout. */
const TIMEOUT_MS = 15_000;

const clock = new SystemClock();

const HEAD = 'HTTP/1.1 200 OK\r\n';
const UNFRAMED = `${HEAD}\r\n`;
const VALUE = '{"key":"a","value":"v","version":1}';

/** Responses that end early or never. */
const BROKEN: { name: string; respond: RawResponder }[] = [
  { name: 'closed early', respond: (socket) => socket.end(UNFRAMED + VALUE.slice(0, -1)) },
  {
    name: 'reset early',
    respond: (socket) =>
      socket.write(UNFRAMED + VALUE.slice(0, -1), () => socket.resetAndDestroy()),
  },
  {
    name: 'without end',
    respond: (socket) => {
      socket.write(UNFRAMED);
      writeWithoutEnd(socket, ' ');
    },
  },
  {
    name: 'with interim answers without end',
    respond: (socket) => writeWithoutEnd(socket, 'HTTP/1.1 103 Early Hints\r\n\r\n'),
  },
];

BROKEN.forEach(({ name, respond }) => {
  test(`store: a response ${name} is no value`, { timeout: 20_000 }, async () => {
    let sentBytes = 0;
    const server = new RawStandin((socket, request) => {
      socket.on('close', () => {
        sentBytes += socket.bytesWritten;
      });
      respond(socket, request);
    });
    const url = `http://${await server.listen()}`;
    const store = new HttpKeyValueStore({ url, timeoutMs: TIMEOUT_MS });
    try {
      const result = await store.get('a');
      assert.equal(result.err && result.val.kind, 'unavailable');
      while (server.closedConnections === 0) await clock.sleep(5);
      assert.ok(sentBytes <= MAXIMUM_SENT_BYTES, `${sentBytes} bytes were sent`);
    } finally {
      await store.close();
      server.close();
    }
  });
});
