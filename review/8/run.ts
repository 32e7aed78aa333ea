/* eslint-disable @stylistic/indent, @stylistic/max-len, @stylistic/object-curly-newline -- formatted by Prettier */
/* eslint-disable no-await-in-loop, n/no-sync, n/no-process-exit, no-console -- as in packages/, platform/ and soak/ */
/** Connections that one entry relays to another, whose machine is suspended. */
import { writeFileSync } from 'node:fs';
import http from 'node:http';
import { join } from 'node:path';
import { newId, pause } from '../tools-2/client';
import { Deployment, PORTS } from '../tools-2/deployment';
import { EVENT_TOKENS } from '../tools-2/runner';

const FOLDER = process.argv[2] ?? '.';
const HAS_TROUBLE = process.env.TROUBLE !== '0';
const HOST = 'stezka.example';
const CALLS_PER_S = 40;
const BEFORE_S = 8;
/** Not above the longest freeze of the site file, 3.2 s. */
const FREEZE_S = 3;
const SLACK_MS = 500;
/** Time budgets of the clients on the sheet. */
const DEADLINES: Record<string, number> = { 'ident-turn': 3_000, notice: 1_200 };
const LONGEST_DEADLINE_MS = 3_000;
/** Clients abandon a stream after such a gap: 4 x sloMs and 8 x gapSloMs are shorter. */
const GAP_MS = 2_000;
const TIMEOUTS: Record<string, number> = { 'ident-turn': 1_500, notice: 1_200 };

const lines: string[] = [];
const startedMs = Date.now();
const note = (line: string) => {
  const text = `${((Date.now() - startedMs) / 1_000).toFixed(1)} s  ${line}`;
  lines.push(text);
  console.log(text);
};

const route = (name: string, kind: string, service: string, more: object) => ({
  name,
  host: HOST,
  prefix: `/${name}/`,
  kind,
  service,
  timeoutMs: TIMEOUTS[name],
  sloMs: 200,
  priority: 1,
  maxAttempts: 2,
  ...more,
});

const deployment = new Deployment({
  entries: 2,
  keepers: 3,
  zones: 3,
  entryMemoryMb: 200,
  keeperMemoryMb: 220,
  entryCores: [0.243, 1.35],
  entryZones: ['zone-0', 'zone-0'],
  note,
  configuration: {
    version: 3,
    routes: [
      route('ident-turn', 'stream', 'model-pool', { gapSloMs: 200, sticky: true }),
      route('notice', 'idempotent', 'office-app', {}),
    ],
    services: [
      {
        name: 'model-pool',
        maxConns: 200,
        healthPath: '/health',
        engine: { slots: 24, kvCapacity: 152_773, eventTokens: EVENT_TOKENS },
      },
      { name: 'office-app', maxConns: 200, healthPath: '/health' },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  },
});

interface Sent {
  id: string;
  name: string;
  atMs: number;
  /** When the first byte, and the end of the answer or of the connection, arrived. */
  firstMs?: number;
  finalMs?: number;
  /** When the client left. */
  leftMs?: number;
  status: number;
}

const sent: Sent[] = [];

/** Sends a request on a new channel to the entry; notes when its answer begins and ends. */
function call(ip: string, name: string): void {
  const record: Sent = {
    id: newId(),
    name,
    atMs: Date.now(),
    status: 0,
  };
  sent.push(record);
  const isStream = name === 'ident-turn';
  const body = isStream ? 'x'.repeat(1_300) : '';
  const request = http.request({
    host: ip,
    port: PORTS.front,
    agent: false,
    method: isStream ? 'POST' : 'GET',
    path: `/${name}/t`,
    headers: {
      Host: HOST,
      'Marjorampin-Request-Id': record.id,
      'Marjorampin-Deadline-Ms': String(DEADLINES[name]),
      ...(isStream
        ? {
            'Content-Length': String(body.length),
            'Marjorampin-Model': 'm',
            'Marjorampin-Token-Count': '654,80',
            'Marjorampin-Prompt-Prefix': '5c1e07a2:512,91bd3f06:142',
          }
        : {}),
    },
  });
  const leave = () => {
    if (record.finalMs !== undefined) return;
    record.leftMs = Date.now();
    request.destroy();
  };
  const finish = () => {
    if (record.leftMs === undefined) record.finalMs ??= Date.now();
  };
  const deadline = setTimeout(leave, DEADLINES[name]);
  let gap: NodeJS.Timeout | undefined;
  request.on('response', (message) => {
    record.status = message.statusCode ?? 0;
    record.firstMs = Date.now();
    message.on('data', () => {
      clearTimeout(gap);
      if (isStream) gap = setTimeout(leave, GAP_MS);
    });
    message.on('error', () => undefined).on('close', finish);
  });
  request.on('error', finish).on('close', () => {
    finish();
    clearTimeout(deadline);
    clearTimeout(gap);
  });
  request.end(body);
}

/** Requests that had no final answer at their route's timeout, and half a second later. */
function judge(requests: Sent[]): { late: Sent[]; open: Sent[] } {
  const lastedUntil = ({ finalMs, leftMs }: Sent) => finalMs ?? leftMs ?? Infinity;
  const late = requests.filter(
    (each) => lastedUntil(each) - each.atMs >= (TIMEOUTS[each.name] ?? 0),
  );
  const open = late.filter(
    (each) => lastedUntil(each) - each.atMs > (TIMEOUTS[each.name] ?? 0) + SLACK_MS,
  );
  return { late, open };
}

async function main(): Promise<number> {
  await deployment.start();
  for (let index = 0; index < 6; index += 1) {
    await deployment.addRunner('model-pool', `zone-${index % 3}`, {
      id: `i-${newId()}`,
      slots: 24,
      stepMs: 110,
      workMs: 100,
    });
    await deployment.addRunner('office-app', `zone-${index % 3}`, {
      id: `i-${newId()}`,
      slots: 24,
      stepMs: 110,
      workMs: 100,
    });
  }
  if (!(await deployment.ready(20_000))) {
    note('the entries do not become ready');
    return 2;
  }
  const [first, second] = deployment.entries;
  if (!first || !second) return 2;
  await pause(1_000);
  const untilMs = Date.now() + (BEFORE_S + FREEZE_S) * 1_000;
  const freezeMs = Date.now() + BEFORE_S * 1_000;
  let isFrozen = false;
  for (let index = 0; Date.now() < untilMs; index += 1) {
    call(first.ip, index % 2 === 0 ? 'ident-turn' : 'notice');
    if (HAS_TROUBLE && !isFrozen && Date.now() >= freezeMs) {
      isFrozen = true;
      second.child?.kill('SIGSTOP');
      note(`${second.name} is suspended`);
    }
    await pause(1_000 / CALLS_PER_S);
  }
  if (isFrozen) {
    second.child?.kill('SIGCONT');
    note(`${second.name} goes on`);
  }
  await pause(LONGEST_DEADLINE_MS + 1_000);
  const { late, open } = judge(sent);
  const whole = sent.filter(({ status, finalMs }) => status === 200 && finalMs !== undefined);
  note(`${sent.length} requests to ${first.name}, ${whole.length} answered 200`);
  note(`${late.length} had no final answer at their route's timeoutMs, ${open.length} of them had`);
  note(`none ${SLACK_MS} ms later:`);
  open.forEach(({ id, name, atMs, firstMs, finalMs, leftMs, status }) => {
    const sinceMs = (ms: number | undefined) => (ms === undefined ? '-' : `${ms - atMs} ms`);
    note(
      `${id} ${name} sent at ${((atMs - startedMs) / 1_000).toFixed(2)} s: status ${status}, first byte ${sinceMs(firstMs)}, end ${sinceMs(finalMs)}, client left ${sinceMs(leftMs)}`,
    );
  });
  const ended = deployment.hosts.filter(({ ends }) => ends.length > 0);
  ended.forEach(({ name, ends }) => note(`${name} ended: ${ends.join('; ')}`));
  // Both forms of the rule: over half of the unanswered ones; eight or more and over a quarter.
  return open.length >= 8 && open.length * 2 > late.length ? 1 : 0;
}

const code = await main().catch((error: unknown) => {
  note(`the case could not run: ${String(error)}`);
  return 2;
});
note(`exit ${code}`);
writeFileSync(join(FOLDER, 'record.txt'), `${lines.join('\n')}\n`);
deployment.stop();
setTimeout(() => process.exit(code), 600);
