/** Odd values in the store that processes read (docs/design/reported-failures.md). */
import assert from 'node:assert/strict';
import http from 'node:http';
import test from 'node:test';
import { CONFIGURATION_KEY, ENDPOINT_ENTRY_PREFIX } from '@marjorampin/platform';
import { QUARANTINE_KEY } from '@marjorampin/quarantine';
import { ROSTER_KEY } from '@marjorampin/turns';
import { type PeerAddress, SystemClock } from '@marjorampin/types';
import { SoakEnvironment } from '../soakEnvironment';
import { buildBundle } from '../soakHosts';
import { SoakRecord } from '../soakRecord';

/** Loopback network that only this test uses. */
const NETWORK = '127.95';
/** Entries and keepers of a soak. */
const PROCESSES = 5;
const NESTING = 200_000;
const NESTED = `${'['.repeat(NESTING)}${']'.repeat(NESTING)}`;
const PAUSE_MS = 100;

const clock = new SystemClock();

const SOUND =
  '"service":"all","zone":"zone-0","version":1,"slots":8,"state":"ready","coldLeftMs":0';
const entryWith = (fields: string) => `{${SOUND},${fields}}`;
const AT = '"address":"127.95.5.9:8100"';

const ODD_TEXTS = ['', '{"service":', 'null', '{}', NESTED, '['.repeat(NESTING), '1e999', '\u0000'];

const ODD_ENTRIES = [
  ...ODD_TEXTS,
  entryWith(`${AT},"sequence":1e999`),
  entryWith(`${AT},"sequence":1,"born":9007199254740993`),
  entryWith(`${AT},"sequence":1,"born":1e308`),
  entryWith(`"sequence":1,"address":${NESTED}`),
  entryWith('"sequence":1,"address":"127.95.5.1:0"'),
  entryWith('"sequence":1,"address":"127.95.5.1:65536"'),
  entryWith('"sequence":1,"address":"127.95.5.1:99999"'),
  entryWith('"sequence":1,"address":"[:::]:80"'),
];

/** Sends a request and returns the status of its answer, 0 if there is none. */
function send({ host, port }: PeerAddress, method: string, path: string, id: string) {
  return new Promise<number>((resolve) => {
    const headers = {
      Host: 'soak.example',
      'Marjorampin-Request-Id': id,
      'Marjorampin-Program-Id': id,
      'Marjorampin-Session-Id': 'a1',
      'Marjorampin-Token-Budget': '500',
      'Marjorampin-Token-Count': '10,50',
    };
    const request = http.request({ host, port, method, path, headers, agent: false }, (answer) => {
      answer.resume();
      answer.on('close', () => resolve(answer.complete ? (answer.statusCode ?? 0) : 0));
    });
    request.on('error', () => resolve(0));
    request.end();
  });
}

test(
  'odd values in the store end no process, and changes are still followed',
  {
    timeout: 120_000,
  },
  async () => {
    buildBundle();
    let output = '';
    const record = new SoakRecord();
    const environment = new SoakEnvironment({
      network: NETWORK,
      record,
      output: (line) => {
        output += line;
      },
    });
    const { store } = environment;
    let sent = 0;
    /** Sends requests of a kind to an entry until one is answered. */
    const served = async (address: PeerAddress, path: string) => {
      for (;;) {
        sent += 1;
        const method = path.startsWith('/turn/') ? 'POST' : 'GET';
        if ((await send(address, method, path, `r${sent}`)) === 200) return;
        await clock.sleep(PAUSE_MS);
      }
    };
    const allServe = async () => {
      for (const address of environment.entryAddresses) {
        for (const path of ['/look/x', '/book/x', '/turn/x']) await served(address, path);
      }
    };
    try {
      await environment.start();
      await allServe();
      for (const [index, text] of ODD_ENTRIES.entries()) {
        await store.putText(`${ENDPOINT_ENTRY_PREFIX}odd-${index}`, text);
      }
      await store.putText(ENDPOINT_ENTRY_PREFIX, JSON.stringify({ service: 'all' }));
      for (const text of ODD_TEXTS) {
        await store.putText(QUARANTINE_KEY, text);
        await store.putText(CONFIGURATION_KEY, text);
        await store.putText(ROSTER_KEY, text);
        await store.putText('unknown', text);
        // Longer than the interval at which the processes read the store.
        await clock.sleep(700);
      }
      await allServe();
      // The configuration that is written now is the first valid one since.
      const configuration = JSON.stringify({
        version: 1_000,
        routes: [
          {
            name: 'late',
            host: 'soak.example',
            prefix: '/late/',
            kind: 'idempotent',
            timeoutMs: 1e308,
            sloMs: 500,
            service: 'all',
          },
        ],
        services: [{ name: 'all', maxConns: 200 }],
        limits: {
          maxHeaderBytes: 8_000,
          maxBodyBytes: 100_000,
          headerTimeoutMs: 3_000,
          idleTimeoutMs: 15_000,
        },
      });
      await store.putText(CONFIGURATION_KEY, configuration);
      for (const address of environment.entryAddresses) await served(address, '/late/x');
      const processes = new Set([...output.matchAll(/"pid":(\d+)/g)].map(([, id]) => id));
      assert.equal(processes.size, PROCESSES, output.slice(-5_000));
      while (!(await store.text(ROSTER_KEY)).startsWith('{"keepers":')) await clock.sleep(PAUSE_MS);
    } finally {
      await environment.stop();
    }
  },
);
