/** Failures that operators of similar systems reported (docs/design/reported-failures.md). */
import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import test from 'node:test';
import { RawStandin, type RawResponder } from '@marjorampin/standins';
import { CallError, SystemClock } from '@marjorampin/types';
import { HttpModelEndpoint } from '../httpModelEndpoint';
import { HttpPlainEndpoint } from '../httpPlainEndpoint';

const TIMEOUT = { timeout: 20_000 };

const clock = new SystemClock();
const { signal } = new AbortController();

const framed = (body: string) => `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
const plainAnswer = (key: string) => framed(`answer of ${key}`);
const resultOf = (text: string) => ({
  text,
  inputTokens: 1,
  cachedTokens: 0,
  rebuiltTokens: 0,
  outputTokens: 1,
});
const modelAnswer = (key: string) =>
  framed(`data: ${JSON.stringify({ result: resultOf(`answer of ${key}`) })}\n\n`);

/** The two kinds of calls, each of which returns the text of its answer. */
const CALLS = [
  {
    kind: 'plain service',
    answerOf: plainAnswer,
    keyOf: (head: string) => /idempotency-key: (\S+)/i.exec(head)?.[1] ?? '',
    create: (url: string) => {
      const endpoint = new HttpPlainEndpoint({ url });
      return async (key: string) => {
        const { body } = await endpoint.execute({ operation: 'book', key, body: '{}' }, signal);
        return body;
      };
    },
  },
  {
    kind: 'model engine',
    answerOf: modelAnswer,
    keyOf: (_: string, body: string) => /"request":"(\w+)"/.exec(body)?.[1] ?? '',
    create: (url: string) => {
      const endpoint = new HttpModelEndpoint({ url });
      return async (request: string) => {
        const fixed = { program: 'p', context: 'x', resumeText: '', maximumTokens: 9, priority: 0 };
        const { text } = await endpoint.generate({ request, ...fixed }, () => undefined, signal);
        return text;
      };
    },
  },
];

/** Runs a server with the given responses. */
async function withServer(
  respond: RawResponder,
  run: (url: string, server: RawStandin) => Promise<void>,
): Promise<void> {
  const server = new RawStandin(respond);
  const url = `http://${await server.listen()}`;
  try {
    await run(url, server);
  } finally {
    server.close();
  }
}

/** Returns the text of an answer, or an empty string if the call failed with an unknown outcome. */
async function textOf(answer: Promise<string>): Promise<string> {
  try {
    return await answer;
  } catch (error) {
    assert.ok(!(error instanceof CallError) || error.execution === 'unknown');
    return '';
  }
}

/** Second copies of an answer, and when they arrive on its connection. */
const COPIES = [
  { name: 'while it is idle', isBeforeNextCall: true },
  { name: 'as the answer of the next call', isBeforeNextCall: false },
];

CALLS.forEach(({ kind, answerOf, keyOf, create }) => {
  COPIES.forEach(({ name, isBeforeNextCall }) => {
    test(`${kind}: second copy of an answer on its connection, ${name}`, TIMEOUT, () => {
      const answered = new Map<Socket, string>();
      const respond: RawResponder = (socket, { head, body }) => {
        const answer = answerOf(keyOf(head, body));
        const earlier = answered.get(socket);
        answered.set(socket, answer);
        socket.write(earlier && !isBeforeNextCall ? earlier + answer : answer);
        if (isBeforeNextCall) setTimeout(() => socket.write(answer), 10);
      };
      return withServer(respond, async (url) => {
        const call = create(url);
        assert.equal(await call('k1'), 'answer of k1');
        await clock.sleep(50);
        assert.ok(['', 'answer of k2'].includes(await textOf(call('k2'))));
      });
    });
  });

  test(`${kind}: an answer with long pauses arrives whole`, TIMEOUT, () => {
    const respond: RawResponder = async (socket, { head, body }) => {
      const answer = answerOf(keyOf(head, body));
      for (let index = 0; index < answer.length; index += 20) {
        socket.write(answer.slice(index, index + 20));
        await clock.sleep(300);
      }
    };
    return withServer(respond, async (url) => {
      assert.equal(await create(url)('k1'), 'answer of k1');
    });
  });

  test(`${kind}: a call whose connection is closed without an answer may have run`, TIMEOUT, () =>
    withServer(
      (socket) => socket.destroy(),
      async (url, server) => {
        await assert.rejects(create(url)('k1'), (error) => {
          if (!(error instanceof CallError)) return true;
          return error.execution === 'unknown';
        });
        assert.equal(server.requests.length, 1);
      },
    ),
  );
});
