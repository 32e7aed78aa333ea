/**
 * Prints timelines of real processes, by the names of scenarios on the command line: `store`, an entry that
 * starts while the store is down; `power` and `parts`, all processes after a power loss; `keepers`, an entry
 * whose keepers are silent for some seconds. With `LOG=1`, it prints the processes' logs as well.
 */
import http from 'node:http';
import { HEADERS } from '@marjorampin/platform';
import { SystemClock } from '@marjorampin/types';
import { EVENTS_PER_TURN, TOKENS_PER_EVENT } from './endpointStandin';
import { SoakEnvironment } from './soakEnvironment';
import { buildBundle, PORTS, type SoakHost } from './soakHosts';
import { SoakRecord } from './soakRecord';

const clock = new SystemClock();

const SIZE = { entries: 3, keepers: 3, endpoints: 3, zones: 3, graceS: 4 };
const TURN_TOKENS = EVENTS_PER_TURN * TOKENS_PER_EVENT;
const INTERVAL_MS = 25;
const DEADLINE_MS = 4_000;
const START_LIMIT_MS = 30_000;
const OUTAGE_MS = 5_000;
const PART_MS = 3_000;

interface Outcome {
  status: number | string;
  ms: number;
  closes: boolean;
}

let lastId = 0;
let startedAtMs = 0;

function print(text: string): void {
  console.log(`${String(Math.round(clock.now() - startedAtMs)).padStart(6)} ms  ${text}`);
}

/** Sends the only turn of a new program, on a new connection. */
function sendTurn({ ip }: SoakHost): Promise<Outcome> {
  lastId += 1;
  const sentAtMs = clock.now();
  return new Promise((resolve) => {
    const settle = (status: number | string, closes = false) =>
      resolve({ status, ms: Math.round(clock.now() - sentAtMs), closes });
    const headers = {
      Host: 'soak.example',
      [HEADERS.requestId]: `r${lastId}`,
      [HEADERS.program]: `p${lastId}`,
      [HEADERS.session]: `p${lastId}`,
      [HEADERS.budget]: TURN_TOKENS,
      [HEADERS.tokens]: `100,${TURN_TOKENS}`,
      Connection: 'keep-alive',
    };
    const target = { host: ip, port: PORTS.front, path: '/turn/x', method: 'POST', headers };
    const request = http.request({ ...target, agent: false }, (response) => {
      const { statusCode = 0, headers: answered } = response;
      response.on('error', () => settle('cut')).resume();
      response.on('end', () => settle(statusCode, answered.connection === 'close'));
    });
    request.on('error', () => settle('refused'));
    request.setTimeout(DEADLINE_MS, () => request.destroy());
    request.end('input');
  });
}

function isReady({ ip }: SoakHost): Promise<boolean> {
  return new Promise((resolve) => {
    const request = http.get({ host: ip, port: PORTS.ready, agent: false }, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    request.on('error', () => resolve(false));
  });
}

/** Prints when an entry is ready or not, and each change of what its turns are answered, for `forMs`. */
async function follow(entry: SoakHost, forMs: number): Promise<void> {
  const untilMs = clock.now() + forMs;
  let seen = '';
  const watchReadiness = async () => {
    let wasReady: boolean | undefined;
    while (clock.now() < untilMs) {
      const ready = await isReady(entry);
      if (ready !== wasReady) print(`${entry.name} ready: ${ready}`);
      wasReady = ready;
      await clock.sleep(INTERVAL_MS);
    }
  };
  const sendTurns = async () => {
    while (clock.now() < untilMs) {
      const { status, ms, closes } = await sendTurn(entry);
      const text = `${status}${closes ? ', closes' : ''}, ${ms > 300 ? 'held' : 'at once'}`;
      if (text !== seen) print(`${entry.name} turn: ${text} (${ms} ms)`);
      seen = text;
      await clock.sleep(INTERVAL_MS);
    }
  };
  await Promise.all([watchReadiness(), sendTurns()]);
}

/** Sends turns to entries until each has served one. */
async function untilServed(entries: SoakHost[]): Promise<void> {
  await Promise.all(
    entries.map(async (entry) => {
      const untilMs = clock.now() + START_LIMIT_MS;
      while (clock.now() < untilMs) {
        const { status } = await sendTurn(entry);
        if (status === 200) {
          print(`${entry.name} served a turn`);
          return;
        }
        await clock.sleep(INTERVAL_MS);
      }
      print(`${entry.name} served no turn`);
    }),
  );
}

async function startWithoutStore(environment: SoakEnvironment, entry: SoakHost): Promise<void> {
  const { hosts, store } = environment;
  store.setMode('silent');
  await hosts.halt(entry);
  startedAtMs = clock.now();
  hosts.start(entry);
  await follow(entry, OUTAGE_MS);
  store.setMode('serves');
  print('the store replies again');
  await untilServed([entry]);
}

async function losePower(environment: SoakEnvironment, entries: SoakHost[]): Promise<void> {
  const { hosts, store } = environment;
  store.setMode('refuses');
  await Promise.all(hosts.hosts.map((host) => hosts.halt(host)));
  await clock.sleep(1_000);
  store.setMode('serves');
  startedAtMs = clock.now();
  hosts.hosts.forEach((host) => hosts.start(host));
  await untilServed(entries);
}

/** Power returns to the entries first, to the keepers some seconds later, to the store last. */
async function losePowerInParts(environment: SoakEnvironment, entries: SoakHost[]): Promise<void> {
  const { hosts, store } = environment;
  store.setMode('silent');
  await Promise.all(hosts.hosts.map((host) => hosts.halt(host)));
  startedAtMs = clock.now();
  entries.forEach((host) => hosts.start(host));
  await clock.sleep(PART_MS);
  hosts.hosts.filter((host) => !entries.includes(host)).forEach((host) => hosts.start(host));
  await clock.sleep(PART_MS);
  store.setMode('serves');
  print('the store, as the last part, is back');
  await untilServed(entries);
}

async function silenceKeepers(environment: SoakEnvironment, entry: SoakHost): Promise<void> {
  const { hosts } = environment;
  const keepers = hosts.hosts.filter(({ role }) => role === 'keeper');
  startedAtMs = clock.now();
  keepers.forEach((keeper) => hosts.signal(keeper, 'SIGSTOP'));
  print('keepers are silent');
  const followed = follow(entry, 2 * OUTAGE_MS);
  await clock.sleep(OUTAGE_MS);
  keepers.forEach((keeper) => hosts.signal(keeper, 'SIGCONT'));
  print('keepers reply again');
  await followed;
}

async function run(): Promise<void> {
  buildBundle();
  const scenarios = process.argv.slice(2);
  const isLogged = process.env.LOG === '1';
  const environment = new SoakEnvironment({
    network: `127.${60 + (process.pid % 100)}`,
    record: new SoakRecord({ answerTimeoutMs: DEADLINE_MS }),
    size: SIZE,
    output: (text) => {
      if (isLogged) text.split('\n').forEach((line) => line && print(`log ${line}`));
    },
  });
  startedAtMs = clock.now();
  await environment.start();
  const entries = environment.hosts.hosts.filter(({ role }) => role === 'entry');
  const [first] = entries;
  await untilServed(entries);
  await clock.sleep(OUTAGE_MS);
  for (const scenario of scenarios) {
    console.log(`-- ${scenario}`);
    if (scenario === 'store' && first) await startWithoutStore(environment, first);
    if (scenario === 'power') await losePower(environment, entries);
    if (scenario === 'parts') await losePowerInParts(environment, entries);
    if (scenario === 'keepers' && first) await silenceKeepers(environment, first);
    await clock.sleep(OUTAGE_MS);
  }
  await environment.stop();
  process.exit();
}

run();
