import assert from 'node:assert/strict';
import test from 'node:test';
import { RawStandin, type RawResponder, writeWithoutEnd } from '@marjorampin/standins';
import { SystemClock } from '@marjorampin/types';
import { compareAndSwapWithReadBack } from '../compareAndSwapWithReadBack';
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

const CUT_HEADS = [
  `${HEAD}Content-Length: ${VALUE.length}\r\n\r\n`,
  `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
  `${HEAD}Connection: close\r\n\r\n`,
  `HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n${HEAD}`,
  'HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n',
];

[false, true].forEach((isKept) => {
  CUT_HEADS.forEach((head) => {
    const connection = isKept ? 'kept' : 'new';
    const name = JSON.stringify(head);
    test(`store: a ${connection} connection closed at any byte of ${name} brings no value`, async () => {
      for (let length = 0; length < head.length; length += 1) {
        let isFirst = isKept;
        const server = new RawStandin((socket) => {
          if (isFirst) socket.write(`${HEAD}Content-Length: ${VALUE.length}\r\n\r\n${VALUE}`);
          else socket.end(head.slice(0, length));
          isFirst = false;
        });
        const url = `http://${await server.listen()}`;
        const store = new HttpKeyValueStore({ url, timeoutMs: TIMEOUT_MS });
        try {
          if (isKept) assert.equal((await store.get('a')).ok, true);
          const read = await store.get('a');
          assert.equal(read.err && read.val.kind, 'unavailable');
          const written = await store.compareAndSwap({ key: 'a', value: 'v', expectedVersion: 0 });
          assert.equal(written.err && written.val.kind, 'ambiguous');
        } finally {
          await store.close();
          server.close();
        }
      }
    });
  });
});

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

const NESTING = 400_000;

/** Bodies of status 200 that are not those of any response. */
const UNUSABLE = [
  '',
  'null',
  '[]',
  '"text"',
  '{}',
  '{"version":"1","revision":"1","values":{}}',
  '{"key":"a","value":"v","version":1e999,"revision":1e999,"values":[],"removed":[],"complete":true}',
  '{"key":"a","value":null,"version":null,"revision":1,"values":[null]}',
  `${'['.repeat(NESTING)}${']'.repeat(NESTING)}`,
  '['.repeat(NESTING),
];

UNUSABLE.forEach((body) => {
  [`Content-Length: ${body.length}`, 'Connection: close'].forEach((header) => {
    const name = JSON.stringify(body.slice(0, 40));
    test(`store: a response ${name} with ${header} is an error of the request`, async () => {
      const server = new RawStandin((socket) => socket.end(`${HEAD}${header}\r\n\r\n${body}`));
      const url = `http://${await server.listen()}`;
      const store = new HttpKeyValueStore({ url, timeoutMs: TIMEOUT_MS });
      try {
        const reads = [await store.get('a'), await store.list('a'), await store.watch('a', 1, 10)];
        reads.forEach((read) => assert.equal(read.err && read.val.kind, 'unavailable'));
        const written = await store.compareAndSwap({ key: 'a', value: 'v', expectedVersion: 0 });
        assert.equal(written.err && written.val.kind, 'ambiguous');
      } finally {
        await store.close();
        server.close();
      }
    });
  });
});

test('a write whose value is replaced by text that is not JSON meets a conflict', async () => {
  const stored = JSON.stringify({ key: 'a', value: '{"token":', version: 2 });
  const server = new RawStandin((socket, { head }) => {
    if (head.startsWith('PUT')) socket.end();
    else socket.end(`${HEAD}Content-Length: ${stored.length}\r\n\r\n${stored}`);
  });
  const url = `http://${await server.listen()}`;
  const store = new HttpKeyValueStore({ url, timeoutMs: TIMEOUT_MS });
  try {
    const swap = { key: 'a', value: {}, expectedVersion: 1 };
    const written = await compareAndSwapWithReadBack(store, swap);
    assert.equal(written.err && written.val.kind, 'conflict');
  } finally {
    await store.close();
    server.close();
  }
});
