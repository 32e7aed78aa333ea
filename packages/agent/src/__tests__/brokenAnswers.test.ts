import assert from 'node:assert/strict';
import test from 'node:test';
import { RawStandin, type RawResponder, writeWithoutEnd } from '@marjorampin/standins';
import { CallError, SystemClock } from '@marjorampin/types';
import { HttpModelEndpoint } from '../httpModelEndpoint';
import { HttpPlainEndpoint } from '../httpPlainEndpoint';

/** Bytes that a server may send before its connection is closed: the limit of 8 MiB for an answer,
 * and what the kernel's buffers of both ends hold. */
const MAXIMUM_SENT_BYTES = 24 * 1024 * 1024;
const TIMEOUT = { timeout: 20_000 };

const clock = new SystemClock();

const HEAD = 'HTTP/1.1 200 OK\r\n';
const UNFRAMED = `${HEAD}\r\n`;
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;
const chunkOf = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const framed = (body: string) => `${HEAD}Content-Length: ${body.length}\r\n\r\n${body}`;

const closeAfter =
  (text: string): RawResponder =>
  (socket) =>
    socket.end(text);

const resetAfter =
  (text: string, delayMs: number): RawResponder =>
  (socket) =>
    socket.write(text, () => {
      setTimeout(() => socket.resetAndDestroy(), delayMs);
    });

const repeatAfter =
  (text: string, repeated: string): RawResponder =>
  (socket) => {
    socket.write(text);
    writeWithoutEnd(socket, repeated);
  };

/** Answers that end early or never; the first part of each is a valid answer. */
const ENDLESS = [
  { name: 'headers without end', respond: repeatAfter(HEAD, 'X-Header: value\r\n') },
  {
    name: 'interim answers without end',
    respond: repeatAfter('', 'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n'),
  },
  { name: 'a body without end', respond: repeatAfter(UNFRAMED, 'x') },
  { name: 'chunks without end', respond: repeatAfter(CHUNKED, chunkOf('x'.repeat(1024))) },
];

const BROKEN = [
  { name: 'a body that is closed early', respond: closeAfter(`${UNFRAMED}part`) },
  { name: 'a body that is reset with its data', respond: resetAfter(`${UNFRAMED}part`, 0) },
  { name: 'a body that is reset later', respond: resetAfter(`${UNFRAMED}part`, 30) },
  { name: 'chunks without the last', respond: closeAfter(CHUNKED + chunkOf('part')) },
  {
    name: 'less than its length',
    respond: closeAfter(framed('part').replace('Length: 4', 'Length: 9')),
  },
  ...ENDLESS,
];

/** Runs a server with the given answer to every request. */
async function withServer(
  respond: RawResponder,
  run: (url: string, server: RawStandin) => Promise<void>,
): Promise<void> {
  const server = new RawStandin(respond);
  const address = await server.listen();
  try {
    await run(`http://${address}`, server);
  } finally {
    server.close();
  }
}

/** Wraps an answer and counts the bytes that were sent. */
function counted(respond: RawResponder): { respond: RawResponder; sentBytes(): number } {
  let sentBytes = 0;
  return {
    respond: (socket, request) => {
      socket.on('close', () => {
        sentBytes += socket.bytesWritten;
      });
      respond(socket, request);
    },
    sentBytes: () => sentBytes,
  };
}

/** Heads of answers, which the server stops at any byte before it closes the connection. */
const HEADS = [
  { name: 'with a length', head: `${HEAD}Content-Length: 9\r\n\r\n` },
  { name: 'with chunks', head: CHUNKED },
  { name: 'without a length', head: UNFRAMED },
  { name: 'that closes', head: `${HEAD}Connection: close\r\n\r\n` },
];

/** Heads that are complete, but not that of an answer. */
const NO_ANSWERS = [
  'HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n',
  'HTTP/1.1 101 Switching\r\nContent-Length: 5\r\n\r\nwhole',
  'HTTP/1.1 103 Early Hints\r\n\r\n',
  'HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n',
];

const isUnknownFailure = (error: unknown) =>
  error instanceof CallError && error.kind === 'endpoint-failed' && error.execution === 'unknown';

const { signal } = new AbortController();
const PLAIN_CALL = { operation: 'book', key: 'k1', body: '{}' };
const MODEL_CALL = {
  request: 'r1',
  program: 'p1',
  context: 'x',
  resumeText: '',
  maximumTokens: 10,
  priority: 0,
};

BROKEN.forEach(({ name, respond }) => {
  test(`plain service: ${name} is not an outcome of the call`, TIMEOUT, () => {
    const answer = counted(respond);
    return withServer(answer.respond, async (url, server) => {
      const endpoint = new HttpPlainEndpoint({ url });
      await assert.rejects(endpoint.execute(PLAIN_CALL, signal), isUnknownFailure);
      while (server.closedConnections === 0) await clock.sleep(5);
      assert.ok(answer.sentBytes() <= MAXIMUM_SENT_BYTES, `${answer.sentBytes()} bytes`);
    });
  });
  test(`model engine: ${name} is not an exported context`, TIMEOUT, () =>
    withServer(respond, async (url) => {
      const endpoint = new HttpModelEndpoint({ url });
      await assert.rejects(endpoint.exportContext('p1'));
    }),
  );
});

/** Every way to stop an answer before its head ends; resets only where a byte was sent. */
const CUT_HEADS: { name: string; responders: RawResponder[] }[] = [
  ...HEADS.flatMap(({ name, head }) => {
    const texts = [...head].map((_, length) => head.slice(0, length));
    return [
      { name: `a head ${name} that is closed early`, responders: texts.map(closeAfter) },
      {
        name: `a head ${name} that is reset early`,
        responders: texts.map((text) => resetAfter(text, 0)),
      },
    ];
  }),
  { name: 'a head of no answer', responders: NO_ANSWERS.map(closeAfter) },
];

CUT_HEADS.forEach(({ name, responders }) => {
  test(`plain service: ${name} is not an outcome of the call`, TIMEOUT, async () => {
    for (const respond of responders) {
      await withServer(respond, async (url, server) => {
        const endpoint = new HttpPlainEndpoint({ url });
        await assert.rejects(endpoint.execute(PLAIN_CALL, signal), isUnknownFailure);
        assert.equal(server.requests.length, 1);
      });
    }
  });
  test(`model engine: ${name} is neither a generation nor a context`, TIMEOUT, async () => {
    for (const respond of responders) {
      await withServer(respond, async (url, server) => {
        const endpoint = new HttpModelEndpoint({ url });
        await assert.rejects(endpoint.generate(MODEL_CALL, () => undefined, signal));
        await assert.rejects(endpoint.exportContext('p1'));
        await assert.rejects(endpoint.release('p1'));
        assert.equal(server.requests.length, 3);
      });
    }
  });
});

const RESULT = { text: 'x', inputTokens: 1, cachedTokens: 0, rebuiltTokens: 0, outputTokens: 1 };
const TEXT_EVENT = `data: ${JSON.stringify({ text: 'x' })}\n\n`;
const RESULT_EVENT = `data: ${JSON.stringify({ result: RESULT })}\n\n`;

const GENERATIONS: { name: string; respond: RawResponder }[] = [
  { name: 'closed before its result', respond: closeAfter(UNFRAMED + TEXT_EVENT) },
  {
    name: 'closed inside its result',
    respond: closeAfter(UNFRAMED + TEXT_EVENT + RESULT_EVENT.slice(0, -2)),
  },
  { name: 'reset before its result', respond: resetAfter(UNFRAMED + TEXT_EVENT, 0) },
  { name: 'an event without end', respond: repeatAfter(`${UNFRAMED}data: `, 'x') },
  { name: 'events without end', respond: repeatAfter(UNFRAMED, TEXT_EVENT) },
  {
    name: 'chunked events without end',
    respond: repeatAfter(CHUNKED, chunkOf(TEXT_EVENT)),
  },
  ...ENDLESS.slice(0, 2),
];

GENERATIONS.forEach(({ name, respond }) => {
  test(`model engine: ${name} is not a generation`, TIMEOUT, () => {
    const answer = counted(respond);
    return withServer(answer.respond, async (url, server) => {
      const endpoint = new HttpModelEndpoint({ url });
      await assert.rejects(endpoint.generate(MODEL_CALL, () => undefined, signal));
      while (server.closedConnections === 0) await clock.sleep(5);
      assert.ok(answer.sentBytes() <= MAXIMUM_SENT_BYTES, `${answer.sentBytes()} bytes`);
    });
  });
});

const WHOLE: { name: string; respond: RawResponder; body: string }[] = [
  { name: 'a body with a length', respond: closeAfter(framed('whole')), body: 'whole' },
  {
    name: 'a chunked body',
    respond: closeAfter(`${CHUNKED}${chunkOf('whole')}0\r\n\r\n`),
    body: 'whole',
  },
  { name: 'no content', respond: closeAfter('HTTP/1.1 204 None\r\n\r\n'), body: '' },
];

WHOLE.forEach(({ name, respond, body }) => {
  test(`plain service: ${name} is the outcome of the call`, TIMEOUT, () =>
    withServer(respond, async (url) => {
      const outcome = await new HttpPlainEndpoint({ url }).execute(PLAIN_CALL, signal);
      assert.equal(outcome.body, body);
    }),
  );
});

test('model engine: a generation may end with its connection', TIMEOUT, () =>
  withServer(closeAfter(UNFRAMED + TEXT_EVENT + RESULT_EVENT), async (url) => {
    const endpoint = new HttpModelEndpoint({ url });
    assert.deepEqual(await endpoint.generate(MODEL_CALL, () => undefined, signal), RESULT);
  }),
);

const ODD_NUMBERS = [
  '1e999',
  '1e308',
  '9007199254740993',
  '4294967296',
  '1.5',
  '-1',
  '"1"',
  'null',
];

ODD_NUMBERS.forEach((number) => {
  test(
    `model engine: the count ${number} is neither part of a result nor of a load`,
    TIMEOUT,
    async () => {
      const result = RESULT_EVENT.replace('"outputTokens":1', `"outputTokens":${number}`);
      await withServer(closeAfter(UNFRAMED + result), async (url) => {
        const generated = new HttpModelEndpoint({ url }).generate(
          MODEL_CALL,
          () => undefined,
          signal,
        );
        await assert.rejects(generated, isUnknownFailure);
      });
      const load = `{"running":${number},"queued":0,"cachedTokens":0}`;
      await withServer(closeAfter(framed(load)), async (url) => {
        await assert.rejects(new HttpModelEndpoint({ url }).load(), isUnknownFailure);
      });
    },
  );
});

const NESTED = '['.repeat(400_000) + ']'.repeat(400_000);

['', '{', 'null', '{"text":1}', NESTED].forEach((text) => {
  test(
    `model engine: ${text.slice(0, 20) || 'no text'} is no event, load or list`,
    TIMEOUT,
    async () => {
      await withServer(closeAfter(`${UNFRAMED}data: ${text}\n\n`), async (url) => {
        const generated = new HttpModelEndpoint({ url }).generate(
          MODEL_CALL,
          () => undefined,
          signal,
        );
        await assert.rejects(generated, isUnknownFailure);
      });
      await withServer(closeAfter(framed(text)), async (url) => {
        await assert.rejects(new HttpModelEndpoint({ url }).load(), isUnknownFailure);
        await assert.rejects(new HttpModelEndpoint({ url }).cachedPrograms(), isUnknownFailure);
      });
    },
  );
});
