import { type ChildProcess, execFileSync, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

/** Ports by purpose, the same on every host. */
export const PORTS = {
  front: 8149,
  ready: 8141,
  peers: 7380,
  store: 8142,
  endpoint: 9000,
  control: 7396,
};

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const BUNDLE = join(ROOT, 'target/marjorampin.cjs');
/** Bounds on applying a configuration and on draining, as in the operators' settings. */
const CONFIGURATION_BOUND_MS = 2_000;
const DRAIN_BOUND_MS = 2_000;
/** Number of hosts that the settings name as seeds. */
const MAXIMUM_SEEDS = 3;
/** Ports for traffic between the hosts' processes. */
const INTERNAL_PORT_COUNT = 16;

/** A host of the soak, which runs one process. */
export interface SoakHost {
  name: string;
  role: 'entry' | 'keeper';
  ip: string;
  zone: string;
  /** Address of this host's own link to the platform's store. */
  storeAddress: string;
}

/** Options of Node.js with which the processes of a role are deployed. */
function deployedOptionsOf(role: SoakHost['role']): string[] {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  const command = /^run = "node (.*?)target/m.exec(section)?.[1];
  if (command === undefined) throw new Error(`deploy/system.toml does not run a role ${role}`);
  return command.split(' ').filter((option) => option !== '');
}

let isBundleBuilt = false;

/** Builds the bundle that the hosts run, once in each process. */
export function buildBundle(): void {
  if (isBundleBuilt) return;
  isBundleBuilt = true;
  execFileSync(process.execPath, ['scripts/buildPlatform.mjs'], { cwd: ROOT, stdio: 'ignore' });
}

/** What the hosts grant their processes, which then run with the options of `deploy/system.toml`. */
export interface HostGrant {
  memoryMb: number;
  maxFds: number;
}

/** Runs entries and keepers as processes of the bundle, each on a separate loopback address. */
export class SoakHosts {
  readonly hosts: SoakHost[];

  private readonly folder = mkdtempSync(join(tmpdir(), 'soak-'));

  private readonly running = new Map<string, ChildProcess>();

  /** Names of the hosts whose process is restarted when it exits. */
  private readonly supervised = new Set<string>();

  /** Names of the hosts whose process has been started before. */
  private readonly startedBefore = new Set<string>();

  private readonly output: (line: string) => void;

  /** Bound on a stop in the settings that processes read at their next start. */
  private graceS: number;

  /** Without limits of memory and descriptors if absent. */
  private readonly grant: HostGrant | undefined;

  constructor(
    hosts: SoakHost[],
    output: (line: string) => void,
    graceS: number,
    grant?: HostGrant,
  ) {
    this.hosts = hosts;
    this.output = output;
    this.graceS = graceS;
    this.grant = grant;
    // Leaves no process running when the soak is interrupted.
    process.once('exit', () => this.running.forEach((child) => child.kill('SIGKILL')));
  }

  /** Starts a host's process and restarts it whenever it exits, as the platform does. */
  start(host: SoakHost): void {
    this.supervised.add(host.name);
    this.run(host);
  }

  /** Kills a host's process, which stays down until `start`. */
  async halt(host: SoakHost): Promise<void> {
    this.supervised.delete(host.name);
    const exited = this.nextExit(host);
    this.signal(host, 'SIGKILL');
    await exited;
  }

  /** Sends a signal to a host's process. */
  signal({ name }: SoakHost, signal: NodeJS.Signals): void {
    this.running.get(name)?.kill(signal);
  }

  /** Id of the process of a host; undefined while none runs. */
  pidOf({ name }: SoakHost): number | undefined {
    return this.running.get(name)?.pid;
  }

  /** Writes other settings for a host and tells its process. */
  reload(host: SoakHost, graceS: number): void {
    this.graceS = graceS;
    this.writeSettings(host);
    this.signal(host, 'SIGHUP');
  }

  /** Resolves once the present process of a host has ended. */
  async nextExit({ name }: SoakHost): Promise<void> {
    const child = this.running.get(name);
    if (child) await once(child, 'exit');
  }

  /** Ends a host's process in order and deletes its data before the next one starts. */
  replaceDisk(host: SoakHost): void {
    const child = this.running.get(host.name);
    child?.prependOnceListener('exit', () => {
      rmSync(this.dataFolderOf(host), { recursive: true, force: true });
    });
    child?.kill('SIGTERM');
  }

  /** Kills a host's process and deletes its data. */
  wipeDisk(host: SoakHost): void {
    const child = this.running.get(host.name);
    // Before the listener that restarts the process, which would write to the folder meanwhile.
    child?.prependOnceListener('exit', () => {
      rmSync(this.dataFolderOf(host), { recursive: true, force: true });
    });
    child?.kill('SIGKILL');
  }

  /** Kills all processes and removes their files. */
  async stop(): Promise<void> {
    this.supervised.clear();
    const children = [...this.running.values()];
    await Promise.all(
      children.map(async (child) => {
        const exited = new Promise((resolve) => {
          child.once('exit', resolve);
        });
        child.kill('SIGKILL');
        await exited;
      }),
    );
    rmSync(this.folder, { recursive: true, force: true });
  }

  private run(host: SoakHost): void {
    const nodeOptions = this.grant ? deployedOptionsOf(host.role) : [];
    const child = spawn(process.execPath, [...nodeOptions, BUNDLE, host.role], {
      env: { ...process.env, MARJORAMPIN_NODE_FILE: this.writeSettings(host) },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.startedBefore.add(host.name);
    this.running.set(host.name, child);
    [child.stdout, child.stderr].forEach((stream) =>
      stream.on('data', (bytes: Buffer) => this.output(bytes.toString())),
    );
    child.once('exit', (code, signal) => {
      this.output(`${host.name} exited with ${code ?? signal}\n`);
      this.running.delete(host.name);
      if (this.supervised.has(host.name)) this.run(host);
    });
  }

  private dataFolderOf({ name }: SoakHost): string {
    return join(this.folder, name, 'data');
  }

  private writeSettings(host: SoakHost): string {
    const { name, role, ip, zone, storeAddress } = host;
    mkdirSync(this.dataFolderOf(host), { recursive: true });
    const path = join(this.folder, name, 'boot.toml');
    const { grant } = this;
    const limits = grant
      ? `[limits]\ncpuShare = 1.0\ncores = 1\nmemoryMb = ${grant.memoryMb}\nmaxFds = ${grant.maxFds}`
      : '';
    const listen =
      role === 'entry'
        ? `front = "${ip}:${PORTS.front}"\nready = "${ip}:${PORTS.ready}"\ncontrol = "${ip}:${PORTS.control}"`
        : '';
    const seeds = this.hosts
      .filter((other) => other.role === 'entry' && other !== host)
      .map((other) => `"${other.ip}:${PORTS.control}"`);
    writeFileSync(
      path,
      `nodeName = "${name}"
ip = "${ip}"
zone = "${zone}"
internalPorts = [${PORTS.peers}, ${PORTS.peers + INTERNAL_PORT_COUNT - 1}]
firstStart = ${!this.startedBefore.has(name)}
seeds = [${seeds.slice(0, MAXIMUM_SEEDS).join(', ')}]
dataDir = "${this.dataFolderOf(host)}"
[listen]
${listen}
${limits}
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
graceS = ${this.graceS}
configMs = ${CONFIGURATION_BOUND_MS}
drainMs = ${DRAIN_BOUND_MS}
[platform]
address = "${storeAddress}"
`,
    );
    return path;
  }
}
