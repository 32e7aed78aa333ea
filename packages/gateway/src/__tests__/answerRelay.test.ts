import assert from 'node:assert/strict';
import type http from 'node:http';
import { PassThrough } from 'node:stream';
import test from 'node:test';
import { ByteAccount } from '@marjorampin/http';
import { writeToCaller } from '../answerRelay';

const held = new ByteAccount({ limitBytes: Infinity });
const EVENTS = ['drain', 'close', 'error'];
/** More than the listeners for which Node.js warns of a leak. */
const PAUSES = 30;

/** A response whose caller accepts one byte at a time. */
const createResponse = () =>
  new PassThrough({ writableHighWaterMark: 1, readableHighWaterMark: 1 });

const listenersOf = (response: PassThrough) => EVENTS.map((name) => response.listenerCount(name));

const write = (response: PassThrough, text: string) =>
  writeToCaller(response as unknown as http.ServerResponse, Buffer.from(text), held);

test('an answer that pauses often leaves no listeners', async () => {
  const response = createResponse();
  const before = listenersOf(response);
  const received: string[] = [];
  for (let pause = 0; pause < PAUSES; pause += 1) {
    const written = write(response, `${pause},`);
    received.push(String(response.read()));
    await written;
    assert.deepEqual(listenersOf(response), before);
  }
  assert.equal(received.length, PAUSES);
});

test('a caller that disconnects ends the wait', async () => {
  const response = createResponse();
  const before = listenersOf(response);
  response.write('full');
  const written = write(response, 'x');
  response.destroy();
  await written;
  assert.deepEqual(listenersOf(response), before);
});

test('a response that fails ends the wait with its error', async () => {
  const response = createResponse();
  response.write('full');
  const written = write(response, 'x');
  response.destroy(new Error('broken'));
  await assert.rejects(async () => written, /broken/);
});
