/* eslint-disable @stylistic/object-curly-newline, @stylistic/operator-linebreak, @stylistic/max-len -- formatted by Prettier */
/* eslint-disable no-await-in-loop, no-console, n/no-process-exit -- as in packages/, platform/ and soak/ */
/* eslint-disable import-x/no-relative-packages -- the platform package exports nothing */
/**
 * Trace, no case: the gateway, request and pause of unreadRequests.test.ts, "an idle entry", with the
 * stop begun FROM to TO milliseconds after the gateway listens. Node.js checks header timeouts every
 * 500 ms from then on.
 */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import { RawStandin } from '@marjorampin/standins';
import type { TurnStore } from '@marjorampin/turns';
import { SystemClock } from '@marjorampin/types';
import { routeOf, startGateway } from '../../platform/src/__tests__/testGateway';
import { validResponse } from '../../platform/src/__tests__/validResponse';
import { stopEntry } from '../../platform/src/stopEntry';

const clock = new SystemClock();
const GRACE_MS = 8_000;
const PAUSE_AT_MS = 2_450;
const PAUSE_MS = 600;
const REQUEST =
  'GET /non-idempotent/x HTTP/1.1\r\nHost: app.example\r\nMarjorampin-Request-Id: r1\r\n\r\n';
const CALLER = `
  const net = require('node:net');
  const { parentPort, workerData } = require('node:worker_threads');
  let received = '';
  let socket;
  parentPort.postMessage('started');
  parentPort.on('message', (message) => {
    if (typeof message === 'string') {
      socket.write(message);
      return;
    }
    socket = net.connect(message.port, '127.0.0.1', () => parentPort.postMessage('connected'));
    socket.on('data', (bytes) => { received += bytes; });
    socket.on('error', () => undefined);
    socket.on('close', () => parentPort.postMessage(received));
  });
  setTimeout(() => socket?.destroy(), 8_000).unref();
`;

async function play(offsetMs: number): Promise<string> {
  const worker = new Worker(CALLER, { eval: true });
  await once(worker, 'message');
  const endpoint = new RawStandin((socket, request) => {
    socket.write(validResponse(request, 'whole'));
  });
  const turns = { isReady: true } as TurnStore;
  const { gateway, log, metrics } = await startGateway(
    [routeOf('non-idempotent')],
    [endpoint],
    turns,
  );
  const startedMs = clock.now();
  worker.postMessage({ port: gateway.callerAddress.port });
  await once(worker, 'message');
  const connectedMs = clock.now();
  while (clock.now() - startedMs < offsetMs) await clock.sleep(1);
  const stopped = stopEntry({ gateway, clock, log, graceMs: GRACE_MS });
  await clock.sleep(PAUSE_AT_MS);
  worker.postMessage(REQUEST);
  const pausedMs = clock.now();
  while (clock.now() - pausedMs < PAUSE_MS);
  const endedMs = clock.now();
  const [received] = await once(worker, 'message');
  await stopped;
  await worker.terminate();
  await gateway.close();
  endpoint.close();
  const malformed = (await metrics.render())
    .split('\n')
    .filter((line) => line.includes('gateway_malformed_total{'));
  const status = String(received).split('\r\n')[0] || 'no answer';
  const pausedAt = (pausedMs - startedMs).toFixed(1);
  const ageMs = (endedMs - connectedMs).toFixed(0);
  return `${status}; paused ${pausedAt} ms after listening, then ${ageMs} ms old ${malformed.join(' ')}`;
}

const [from = 0, to = 0, repeats = 1] = process.argv.slice(2).map(Number);
for (let offset = from; offset <= to; offset += 1) {
  for (let repeat = 0; repeat < repeats; repeat += 1) {
    console.log(offset, await play(offset));
  }
}
process.exit();
