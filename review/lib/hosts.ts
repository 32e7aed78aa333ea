/* eslint-disable @stylistic/max-len, @stylistic/object-curly-newline, @typescript-eslint/no-use-before-define, n/no-sync -- Relaxed for the sources of the repository as well, or left to prettier. */
/** Processes of the project, started with the commands of the deploy file. */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { Record } from './record';
import { sleep } from './standin';

/** Time until the platform restarts a process that has ended. */
const RESTART_MS = 200;

/** A machine of the deployment with one process. */
export interface Host {
  name: string;
  role: 'entry' | 'keeper';
  ip: string;
  zone: string;
}

/** Ports, the same on all machines. */
export interface Ports {
  front: number;
  ready: number;
  /** First port for traffic between the processes. */
  internal: number;
  store: number;
  runner: number;
}

/** Options of `Hosts`. */
export interface HostsOptions {
  record: Record;
  folder: string;
  storeAddress: string;
  ports: Ports;
  zones: string[];
  catchUpS: number;
}

/** Starts, stops and restarts processes. */
export class Hosts {
  private readonly options: HostsOptions;

  private readonly running = new Map<string, ChildProcess>();

  private readonly startedBefore = new Set<string>();

  /** Hosts that stay down until they are started again. */
  private readonly down = new Set<string>();

  private isStopping = false;

  constructor(options: HostsOptions) {
    this.options = options;
    process.once('exit', () => this.running.forEach((child) => child.kill('SIGKILL')));
  }

  /** Starts a process; it is restarted whenever it ends. */
  start(host: Host): void {
    this.down.delete(host.name);
    const [program = '', ...words] = commandOf(host.role).split(' ');
    const path = this.writeSettings(host);
    const child = spawn(program === 'node' ? process.execPath : program, words, {
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        MARJORAMPIN_NODE_FILE: path,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.startedBefore.add(host.name);
    this.running.set(host.name, child);
    const log = (bytes: Buffer) => {
      writeFileSync(join(this.options.folder, `${host.name}.log`), bytes, { flag: 'a' });
    };
    child.stdout.on('data', log);
    child.stderr.on('data', log);
    child.once('exit', async () => {
      if (this.running.get(host.name) === child) this.running.delete(host.name);
      await sleep(RESTART_MS);
      if (!this.isStopping && !this.down.has(host.name)) this.start(host);
    });
  }

  /** Sends a signal to the process of a host. */
  signal({ name }: Host, signal: NodeJS.Signals): void {
    this.options.record.write(`platform sends ${signal} to ${name}`);
    this.running.get(name)?.kill(signal);
  }

  /** Kills a process; the platform restarts it. With `isDown`, it stays down until `start`. */
  async kill(host: Host, { isDown = false } = {}): Promise<void> {
    const child = this.running.get(host.name);
    if (!child) return;
    if (isDown) this.down.add(host.name);
    const exited = new Promise((resolve) => {
      child.once('exit', resolve);
    });
    this.signal(host, 'SIGKILL');
    await exited;
  }

  /** The machine loses its disk and starts again with an empty one, at its old address. */
  async loseDisk(host: Host): Promise<void> {
    await this.kill(host, { isDown: true });
    rmSync(this.dataFolder(host), { recursive: true, force: true });
    this.options.record.write(`platform gives ${host.name} an empty disk`);
    this.start(host);
  }

  /** Kills all processes. */
  async stop(): Promise<void> {
    this.isStopping = true;
    await Promise.all(
      [...this.running.values()].map(async (child) => {
        const exited = new Promise((resolve) => {
          child.once('exit', resolve);
        });
        child.kill('SIGKILL');
        await exited;
      }),
    );
  }

  private dataFolder({ name }: Host): string {
    return join(this.options.folder, name, 'data');
  }

  private writeSettings(host: Host): string {
    const { folder, ports, storeAddress, zones, catchUpS } = this.options;
    const { name, role, ip, zone } = host;
    const isKeeper = role === 'keeper';
    mkdirSync(isKeeper ? this.dataFolder(host) : join(folder, name), { recursive: true });
    const path = join(folder, name, 'boot.toml');
    const machineClass = isKeeper ? 'store' : 'front';
    const text = `nodeName = "${name}"
role = "${role}"
machineClass = "${machineClass}"
serves = ["${machineClass}"]
ip = "${ip}"
zone = "${zone}"
region = "sur-peru"
internalPorts = [${ports.internal},${ports.internal + 15}]
seeds = []
firstStart = ${!this.startedBefore.has(name)}
faultCounted = ${isKeeper}
${isKeeper ? `dataDir = "${this.dataFolder(host)}"\n` : ''}discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","agent","stream","engine","platform"]
[zones]
${zones.map((each) => `${each} = "sur-peru"`).join('\n')}
[listen]
${isKeeper ? '' : `front = "${ip}:${ports.front}"\nready = "${ip}:${ports.ready}"`}
[limits]
cpuShare = ${isKeeper ? 0.675 : 0.513}
cores = ${isKeeper ? 2 : 1}
memoryMb = ${isKeeper ? 370 : 350}
maxFds = ${isKeeper ? 8200 : 4100}
linkMbps = ${isKeeper ? '600.0' : '1000.0'}
diskMb = ${isKeeper ? 390 : 0}
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = ${catchUpS}
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
address = "${storeAddress}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`;
    writeFileSync(path, text);
    return path;
  }
}

/** Returns the command of a role in the deploy file. */
function commandOf(role: string): string {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  const command = /^run = "(.*)"$/m.exec(section)?.[1];
  if (!command) throw new Error(`deploy/system.toml has no role ${role}`);
  return command;
}
