/* eslint-disable @stylistic/implicit-arrow-linebreak, @stylistic/max-len, @stylistic/object-curly-newline, @typescript-eslint/no-use-before-define, n/no-sync, no-await-in-loop, no-restricted-syntax -- Relaxed for the sources of the repository as well, or left to prettier. */
/** A small deployment: entries, keepers, runners and the platform's store on loopback addresses. */
import http from 'node:http';
import { mkdtempSync, rmSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { type ClientAnswer, HOST, send } from './client';
import { type Host, Hosts, type Ports } from './hosts';
import type { Record } from './record';
import { EVENT_TOKENS, type Run, RunnerStandin, WORK_HEADER } from './runnerStandin';
import { sleep } from './standin';
import { StoreStandin } from './storeStandin';

/** Services of the deployment. */
export const MODEL_SERVICE = 'asistente-lm';
export const PLAIN_SERVICE = 'registro-app';
/** Interval at which a runner writes its entry. */
const HEARTBEAT_MS = 1_200;
/** Longest wait until the deployment serves. */
const START_TIMEOUT_MS = 20_000;
const RETAIN_S = 60;
/** Port at which the project's processes serve their metrics, each at its own address. */
const METRICS_PORT = 9_464;
/** Ports below those that the system gives to outgoing connections. */
const LOWEST_PORT = 12_000;
const PORT_STEP = 20;
const PORT_STEPS = 900;
const NETWORK_ATTEMPTS = 50;

/** Options of `Deployment`. */
export interface DeploymentOptions {
  record: Record;
  /** Model runners in each zone. */
  modelRunnersPerZone?: number;
  /** Plain runners in each zone. */
  plainRunnersPerZone?: number;
  zones?: string[];
}

/** A turn of a program. */
export interface Turn {
  id: string;
  program: string;
  budget: number;
  /** Largest number of tokens. */
  tokens: number;
  input: string;
  previous?: string;
  /** Time left until the program should be finished. */
  finishMs?: number;
  workMs?: number;
  path?: string;
}

/** Starts and stops everything that a script needs. */
export class Deployment {
  readonly record: Record;

  readonly store = new StoreStandin();

  readonly runners: RunnerStandin[] = [];

  readonly entries: Host[];

  readonly keepers: Host[];

  readonly hosts: Hosts;

  private readonly folder = mkdtempSync(join(tmpdir(), 'review-'));

  private readonly network: string;

  private readonly ports: Ports;

  private readonly zones: string[];

  private readonly beats: NodeJS.Timeout[] = [];

  private lastId = 0;

  private constructor(options: DeploymentOptions, network: string, ports: Ports) {
    const { record, zones = ['sur-a', 'sur-b', 'sur-c'] } = options;
    const { modelRunnersPerZone = 2, plainRunnersPerZone = 2 } = options;
    this.record = record;
    this.network = network;
    this.ports = ports;
    this.zones = zones;
    this.hosts = new Hosts({
      record,
      folder: this.folder,
      storeAddress: `${network}.3.1:${ports.store}`,
      ports,
      zones,
      catchUpS: 4.4,
    });
    const host = (role: Host['role'], zone: string, index: number): Host => ({
      name: `${role === 'entry' ? 'front' : 'store'}-${zone}-1`,
      role,
      ip: `${network}.${role === 'entry' ? 1 : 2}.${index + 1}`,
      zone,
    });
    this.entries = zones.map((zone, index) => host('entry', zone, index));
    this.keepers = zones.map((zone, index) => host('keeper', zone, index));
    const runner = (service: string, zone: string, index: number) =>
      new RunnerStandin({
        id: `i-${service.slice(0, 3)}${zone.slice(-1)}${index}`,
        service,
        zone,
        slots: service === MODEL_SERVICE ? 16 : 6,
        record,
      });
    zones.forEach((zone) => {
      for (let index = 0; index < modelRunnersPerZone; index += 1) {
        this.runners.push(runner(MODEL_SERVICE, zone, index));
      }
      for (let index = 0; index < plainRunnersPerZone; index += 1) {
        this.runners.push(runner(PLAIN_SERVICE, zone, index));
      }
    });
  }

  /** Starts a deployment and waits until all entries serve. */
  static async start(options: DeploymentOptions): Promise<Deployment> {
    const { network, ports } = await findNetwork();
    const deployment = new Deployment(options, network, ports);
    try {
      await deployment.startAll();
    } catch (error) {
      await deployment.stop();
      throw error;
    }
    return deployment;
  }

  /** Address of an entry for clients. */
  addressOf({ ip }: Host): string {
    return `${ip}:${this.ports.front}`;
  }

  /** Whether an entry says that it is ready. */
  isReady({ ip }: Host): Promise<boolean> {
    return new Promise((resolve) => {
      const request = http.get(
        { host: ip, port: this.ports.ready, path: '/marjorampin/ready', agent: false },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.on('error', () => resolve(false));
      request.setTimeout(1_000, () => request.destroy());
    });
  }

  /** Returns an id that was not used before. */
  nextId(kind: string): string {
    this.lastId += 1;
    return `${kind}-${String(this.lastId).padStart(4, '0')}`;
  }

  /** Sends a turn to an entry. */
  sendTurn(entry: Host, turn: Turn, agent?: http.Agent): Promise<ClientAnswer> {
    const { id, program, budget, tokens, input, previous, finishMs = 60_000, workMs } = turn;
    return send(
      {
        id,
        entry: this.addressOf(entry),
        method: 'POST',
        path: turn.path ?? '/walk/4b',
        body: input,
        deadlineMs: 4_000,
        headers: {
          'Marjorampin-Program-Id': program,
          'Marjorampin-Session-Id': program,
          'Marjorampin-Finish-Ms': String(finishMs),
          'Marjorampin-Token-Budget': String(budget),
          'Marjorampin-Token-Count': `100,${tokens}`,
          'Marjorampin-Model': 'm',
          ...(previous === undefined ? {} : { 'Marjorampin-Previous-Turn': previous }),
          ...(workMs === undefined ? {} : { 'x-work-ms': String(workMs) }),
        },
        ...(agent && { agent }),
      },
      this.record,
    );
  }

  /** Sends a request to an entry that is no turn. */
  sendCall(
    entry: Host,
    { id, path, body, workMs }: { id: string; path: string; body: string; workMs: number },
  ): Promise<ClientAnswer> {
    return send(
      {
        id,
        entry: this.addressOf(entry),
        method: 'POST',
        path,
        body,
        deadlineMs: 5_000,
        headers: { [WORK_HEADER]: String(workMs) },
      },
      this.record,
    );
  }

  /** Writes a configuration with one more route, as the operator does. */
  addRoute(name: string): void {
    this.record.write(`operator adds the route ${name}`);
    const { version, routes, ...rest } = configuration();
    const route = plainRoute(name, 'non_idempotent', 5_000, 1);
    this.store.put('op/config', { version: version + 3, routes: [...routes, route], ...rest });
  }

  /** Runs of all runners, by request. */
  get runs(): Map<string, Run> {
    return new Map(
      this.runners.flatMap(({ runs }) => runs).map((run) => [run.request, run] as const),
    );
  }

  /** Starts a runner that was closed again under its id. */
  async restartRunner(runner: RunnerStandin): Promise<void> {
    await this.startRunner(runner);
  }

  /** Ends a runner as a crash does: its connections are reset. */
  async crashRunner(runner: RunnerStandin): Promise<void> {
    this.record.write(`runner ${runner.options.id} crashes`);
    await runner.close();
  }

  /** Ends everything. */
  async stop(): Promise<void> {
    this.beats.forEach((beat) => clearInterval(beat));
    await this.hosts.stop();
    await Promise.all([this.store, ...this.runners].map((standin) => standin.close()));
    rmSync(this.folder, { recursive: true, force: true });
  }

  private async startAll(): Promise<void> {
    await this.store.listen(`${this.network}.3.1`, this.ports.store);
    this.store.put('op/config', configuration());
    for (const runner of this.runners) await this.startRunner(runner);
    [...this.keepers, ...this.entries].forEach((host) => this.hosts.start(host));
    const until = performance.now() + START_TIMEOUT_MS;
    for (const entry of this.entries) {
      while (!(await this.isReady(entry))) {
        if (performance.now() > until) throw new Error(`${entry.name} does not become ready`);
        await sleep(100);
      }
    }
    // Until all keepers are in the roster.
    while (this.rosterSize < this.keepers.length) {
      if (performance.now() > until) throw new Error('the keepers do not form a group');
      await sleep(100);
    }
    await sleep(1_500);
    this.record.write('the deployment is ready');
  }

  /** Number of keepers that the system has written into the store. */
  get rosterSize(): number {
    const text = this.store.text('marjorampin/keepers');
    return text === '' ? 0 : (JSON.parse(text) as { keepers: unknown[] }).keepers.length;
  }

  private async startRunner(runner: RunnerStandin): Promise<void> {
    const index = this.runners.indexOf(runner);
    const host = `${this.network}.4.${index + 1}`;
    await runner.listen(host, this.ports.runner);
    const { id, service, zone, slots } = runner.options;
    const born = Date.now();
    let sequence = 0;
    const beat = () => {
      sequence += 1;
      this.store.put(`servers/${id}`, {
        service,
        address: `${host}:${this.ports.runner}`,
        zone,
        version: 'v1',
        slots,
        state: 'ready',
        coldLeftMs: 0,
        sequence,
        born,
      });
    };
    beat();
    const timer = setInterval(() => {
      if (runner.isListening) beat();
    }, HEARTBEAT_MS);
    this.beats.push(timer);
  }
}

function plainRoute(name: string, kind: string, timeoutMs: number, maxAttempts: number) {
  return {
    name,
    host: HOST,
    prefix: `/${name}/`,
    kind,
    timeoutMs,
    sloMs: 600,
    priority: 2,
    service: PLAIN_SERVICE,
    maxAttempts,
  };
}

/** Configuration as the small deployments have it. */
function configuration() {
  const stream = (name: string, priority: number) => ({
    name,
    host: HOST,
    prefix: `/${name}/`,
    kind: 'stream',
    timeoutMs: 4_000,
    sloMs: 250,
    priority,
    service: MODEL_SERVICE,
    maxAttempts: 2,
    retainContext: true,
    retainS: RETAIN_S,
    sticky: true,
    resumable: false,
    gapSloMs: 200,
  });
  const limits = { healthPath: '/health', protocol: 'h1', tls: false };
  return {
    version: 7,
    routes: [
      stream('check', 1),
      stream('walk', 0),
      plainRoute('lookup', 'idempotent', 1_500, 2),
      plainRoute('cert', 'non_idempotent', 5_000, 1),
      plainRoute('flag', 'non_idempotent', 2_500, 1),
    ],
    services: [
      {
        name: MODEL_SERVICE,
        maxConns: 160,
        ...limits,
        engine: { slots: 16, kvCapacity: 176_996, eventTokens: EVENT_TOKENS },
      },
      { name: PLAIN_SERVICE, maxConns: 96, ...limits },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

/** Returns the first two octets of loopback addresses, and ports that are free there. */
async function findNetwork(): Promise<{ network: string; ports: Ports }> {
  for (let attempt = 0; attempt < NETWORK_ATTEMPTS; attempt += 1) {
    const network = `127.${60 + Math.floor(Math.random() * 180)}`;
    const first = LOWEST_PORT + PORT_STEP * Math.floor(Math.random() * PORT_STEPS);
    const ports = {
      front: first,
      ready: first + 1,
      store: first + 2,
      runner: first + 3,
      internal: first + 4,
    };
    const wanted = [
      [`${network}.1.1`, ports.front],
      [`${network}.1.1`, ports.ready],
      [`${network}.1.1`, METRICS_PORT],
      [`${network}.2.1`, METRICS_PORT],
      [`${network}.2.1`, ports.internal],
      [`${network}.3.1`, ports.store],
      [`${network}.4.1`, ports.runner],
    ] as const;
    const areFree = await Promise.all(wanted.map(([host, port]) => isFree(host, port)));
    if (areFree.every(Boolean)) return { network, ports };
  }
  throw new Error('no free loopback addresses');
}

function isFree(host: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const probe = createServer();
    probe.once('error', () => resolve(false));
    probe.listen(port, host, () => probe.close(() => resolve(true)));
  });
}
