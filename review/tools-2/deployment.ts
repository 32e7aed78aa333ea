/* eslint-disable @stylistic/object-curly-newline, @stylistic/implicit-arrow-linebreak, @stylistic/function-paren-newline, @stylistic/nonblock-statement-body-position, @stylistic/max-len, curly -- formatted by Prettier */
/* eslint-disable no-await-in-loop, @typescript-eslint/no-use-before-define, n/no-sync, n/no-process-exit, no-console, n/no-unsupported-features/node-builtins -- as in packages/, platform/ and soak/ */
/** A small deployment on loopback addresses: the project's processes, the store and the runners. */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Runner, type RunnerOptions } from './runner';
import { Store } from './store';

export const PORTS = { front: 8149, ready: 8141, control: 8144, store: 8142, runner: 8145 };
const INTERNAL = [7380, 7395];
const MEMORY_CHECK_MS = 100;
const RESTART_MS = 1_000;
/** Ends of a host's processes that are noted one by one. */
const NOTED_ENDS = 3;

export interface Host {
  name: string;
  role: 'entry' | 'keeper';
  ip: string;
  zone: string;
  memoryMb: number;
  cores: number;
  /** What ended its processes, in order. */
  ends: string[];
  peakMb: number;
  child?: ChildProcess | undefined;
  isFirst: boolean;
}

export interface DeploymentOptions {
  entries: number;
  keepers: number;
  zones: number;
  entryMemoryMb: number;
  keeperMemoryMb: number;
  configuration: object;
  /** Cores of each entry's machine; 0.513 by default. */
  entryCores?: number[];
  /** Zones of the entries; one after the other by default. */
  entryZones?: string[];
  note: (line: string) => void;
}

// A fault of a stand-in is no fault of the system.
process.on('uncaughtException', (error) => {
  console.error(error);
  process.exit(2);
});

// Ends the processes of the deployment, too.
['SIGTERM', 'SIGINT'].forEach((signal) => process.once(signal, () => process.exit(2)));

export class Deployment {
  readonly store = new Store();

  readonly hosts: Host[];

  readonly runners: Runner[] = [];

  readonly folder = mkdtempSync(join(tmpdir(), 'review-'));

  network = '';

  private readonly options: DeploymentOptions;

  private isEnding = false;

  private memoryTimer: NodeJS.Timeout | undefined;

  constructor(options: DeploymentOptions) {
    this.options = options;
    const { entries, keepers, zones, entryMemoryMb, keeperMemoryMb } = options;
    const hostsOf = (role: Host['role'], count: number, memoryMb: number) =>
      Array.from({ length: count }, (_, index): Host => ({
        name: `${role === 'entry' ? 'front' : 'store'}-zone-${index % zones}-${index}`,
        role,
        ip: `${role === 'entry' ? 1 : 2}.${index + 1}`,
        zone: (role === 'entry' && options.entryZones?.[index]) || `zone-${index % zones}`,
        memoryMb,
        cores: role === 'entry' ? (options.entryCores?.[index] ?? 0.513) : 1.35,
        ends: [],
        peakMb: 0,
        isFirst: true,
      }));
    this.hosts = [
      ...hostsOf('keeper', keepers, keeperMemoryMb),
      ...hostsOf('entry', entries, entryMemoryMb),
    ];
    process.once('exit', () => {
      this.hosts.forEach(({ child }) => child?.kill('SIGKILL'));
      rmSync(this.folder, { recursive: true, force: true });
    });
  }

  get entries(): Host[] {
    return this.hosts.filter(({ role }) => role === 'entry');
  }

  get keepers(): Host[] {
    return this.hosts.filter(({ role }) => role === 'keeper');
  }

  async start(): Promise<void> {
    this.network = await freeNetwork();
    this.hosts.forEach((host) => Object.assign(host, { ip: `${this.network}.${host.ip}` }));
    await this.store.listen(`${this.network}.3.1`, PORTS.store);
    this.store.put('op/config', this.options.configuration);
    this.hosts.forEach((host) => this.run(host));
    this.memoryTimer = setInterval(() => this.endOversized(), MEMORY_CHECK_MS);
  }

  async addRunner(service: string, zone: string, options: RunnerOptions): Promise<Runner> {
    const runner = new Runner(options);
    const ip = `${this.network}.4.${this.runners.length + 1}`;
    this.runners.push(runner);
    await runner.listen(ip, PORTS.runner);
    this.store.put(`servers/${options.id}`, {
      service,
      address: `${ip}:${PORTS.runner}`,
      zone,
      version: 1,
      slots: options.slots,
      state: 'ready',
      coldLeftMs: 0,
      sequence: 1,
      born: Date.now(),
    });
    return runner;
  }

  /** Resolves once all entries report themselves ready. */
  async ready(limitMs: number): Promise<boolean> {
    const until = Date.now() + limitMs;
    while (Date.now() < until) {
      const answers = await Promise.all(this.entries.map(({ ip }) => isReady(ip)));
      if (answers.every((each) => each)) return true;
      await new Promise((resolve) => {
        setTimeout(resolve, 100);
      });
    }
    return false;
  }

  stop(): void {
    this.isEnding = true;
    clearInterval(this.memoryTimer);
    this.hosts.forEach(({ child }) => child?.kill('SIGKILL'));
    this.runners.forEach((runner) => runner.close());
    this.store.close();
  }

  private run(host: Host): void {
    const [command = 'node', ...words] = commandOf(host.role);
    const child = spawn(command === 'node' ? process.execPath : command, words, {
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        MARJORAMPIN_NODE_FILE: this.writeSettings(host),
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    Object.assign(host, { child, isFirst: false });
    const log: string[] = [];
    [child.stdout, child.stderr].forEach((stream) =>
      stream.on('data', (bytes: Buffer) => {
        log.push(bytes.toString());
        if (log.length > 50) log.shift();
        if (process.env.LOGS)
          writeFileSync(join(process.env.LOGS, host.name), bytes, { flag: 'a' });
      }),
    );
    child.once('exit', (code, signal) => {
      if (this.isEnding) return;
      if (!child.killed) {
        host.ends.push(`ended by itself: ${code ?? signal}`);
        this.options.note(`${host.name}: the process ended by itself (${code ?? signal})`);
      }
      Object.assign(host, { child: undefined });
      setTimeout(() => !this.isEnding && this.run(host), RESTART_MS);
    });
  }

  /** Kills a process that uses more than its machine's memory, as the platform does. */
  private endOversized(): void {
    this.hosts.forEach((host) => {
      const mb = residentMb(host.child?.pid);
      Object.assign(host, { peakMb: Math.max(host.peakMb, mb) });
      if (mb <= host.memoryMb || host.child?.killed) return;
      host.ends.push(`memory: ${Math.round(mb)} MB of ${host.memoryMb}`);
      if (host.ends.length <= NOTED_ENDS) {
        this.options.note(`${host.name}: uses ${Math.round(mb)} MB of ${host.memoryMb}, killed`);
      }
      host.child?.kill('SIGKILL');
    });
  }

  private writeSettings(host: Host): string {
    const { name, role, ip, zone, memoryMb, cores, isFirst } = host;
    const dataDir = join(this.folder, name, 'data');
    mkdirSync(dataDir, { recursive: true });
    const path = join(this.folder, name, 'boot.toml');
    const isEntry = role === 'entry';
    const listen = isEntry
      ? `front = "${ip}:${PORTS.front}"\nready = "${ip}:${PORTS.ready}"\ncontrol = "${ip}:${PORTS.control}"`
      : '';
    const seeds = this.entries.slice(0, 3).map((entry) => `"${entry.ip}:${PORTS.control}"`);
    writeFileSync(
      path,
      `nodeName = "${name}"
role = "${role}"
machineClass = "${isEntry ? 'front' : 'store'}"
serves = [${isEntry ? '"front", "control"' : '"store"'}]
ip = "${ip}"
zone = "${zone}"
region = "region-1"
internalPorts = [${INTERNAL.join(', ')}]
seeds = [${seeds.join(', ')}]
firstStart = ${isFirst}
faultCounted = ${!isEntry}
${isEntry ? '' : `dataDir = "${dataDir}"`}
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","agent","stream","engine","platform"]
[listen]
${listen}
[limits]
cpuShare = ${cores}
cores = 1
memoryMb = ${memoryMb}
maxFds = ${isEntry ? 4100 : 8200}
linkMbps = 1000.0
diskMb = ${isEntry ? 0 : 360}
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4.3
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
skewMaxMs = 5000
recoveryS = 12
passMs = 120
retryAfterS = 0
finishS = 10
settleMs = 1000
[platform]
address = "${this.network}.3.1:${PORTS.store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`,
    );
    return path;
  }
}

/** Returns the words of a role's command in the deploy file. */
function commandOf(role: string): string[] {
  const section = readFileSync('deploy/system.toml', 'utf8').split(`[roles.${role}]`)[1] ?? '';
  return (/^run = "(.*)"$/m.exec(section)?.[1] ?? '').split(' ');
}

/** Resident memory of a process without the pages of its program file; 0 if it has ended. */
function residentMb(pid: number | undefined): number {
  if (pid === undefined) return 0;
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(/RssAnon:\s+(\d+) kB/.exec(status)?.[1] ?? 0) / 1_024;
  } catch {
    return 0;
  }
}

/** Returns the first two octets of loopback addresses that nothing uses. */
async function freeNetwork(): Promise<string> {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const network = `127.${10 + Math.floor(Math.random() * 200)}`;
    if (await canListen(`${network}.3.1`, PORTS.store)) return network;
  }
  throw new Error('no free loopback addresses');
}

function canListen(host: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

async function isReady(ip: string): Promise<boolean> {
  const url = `http://${ip}:${PORTS.ready}/marjorampin/ready`;
  const answer = await fetch(url, { signal: AbortSignal.timeout(1_000) }).catch(() => undefined);
  await answer?.arrayBuffer().catch(() => undefined);
  return answer?.status === 200;
}
