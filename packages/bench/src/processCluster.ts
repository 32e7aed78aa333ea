import { type ChildProcess, spawn } from 'node:child_process';
import { existsSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { type ConfigurationFile } from '@marjorampin/configuration';
import { digestOf } from '@marjorampin/types';
import { request } from 'undici';

const BINARY = 'dist/marjorampin';
const OPERATOR_KEY = 'bench-operator-key';
const READY_ATTEMPTS = 200;
const READY_PAUSE_MS = 50;

/** What runs as separate processes. */
export interface ProcessClusterOptions {
  configuration: ConfigurationFile;
  entryCount: number;
  /** Endpoints of each service. */
  endpointCount: number;
  domains: string[];
  /** Further arguments of the engines' stand-ins. */
  engineArguments?: string[];
}

/** A started process of the system. */
export interface RunningProcess {
  id: string;
  child: ChildProcess;
  url: string;
}

/** Entries, agents and stand-ins as separate processes of the binary, over loopback. */
export class ProcessCluster {
  readonly entries: RunningProcess[] = [];

  readonly agents: RunningProcess[] = [];

  readonly engines: RunningProcess[] = [];

  readonly services: RunningProcess[] = [];

  platform: RunningProcess | undefined;

  private readonly options: ProcessClusterOptions;

  private readonly folder = mkdtempSync(join(tmpdir(), 'marjorampin-bench-'));

  constructor(options: ProcessClusterOptions) {
    this.options = options;
  }

  /** URLs of the entries for callers. */
  get urls(): string[] {
    return this.entries.map(({ url }) => url);
  }

  /** Starts all processes and applies the configuration. */
  async start(): Promise<void> {
    if (!existsSync(BINARY)) throw new Error(`${BINARY} is missing; run "npm run build" first`);
    const { configuration, entryCount, endpointCount } = this.options;
    this.platform = await startStandin('platform', 'platform');
    for (let index = 0; index < entryCount; index += 1) await this.startEntry(index);
    await this.applyConfiguration();
    for (const service of configuration.services) {
      for (let index = 0; index < endpointCount; index += 1) {
        await this.startEndpoint(service.name, service.kind, index);
      }
    }
    await this.untilEndpointsKnown(configuration.services.length * endpointCount);
  }

  /** Kills everything that was started. */
  close(): void {
    const all = [...this.entries, ...this.agents, ...this.engines, ...this.services];
    [...all, ...(this.platform ? [this.platform] : [])].forEach(({ child }) =>
      child.kill('SIGKILL'),
    );
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** Starts an entry, or a new one in the place of one that ended. */
  async startEntry(index: number): Promise<RunningProcess> {
    const id = `entry-${index}`;
    const [callers, peers] = [await freePort(), await freePort()];
    const settings = [
      'role = "entry"',
      `id = "${id}"`,
      `domain = "${this.domainOf(index)}"`,
      `platform = { url = "${this.platform?.url}" }`,
      '[entry]',
      `caller_address = "127.0.0.1:${callers}"`,
      `peer_address = "127.0.0.1:${peers}"`,
      `operator_key_digests = ["${digestOf(OPERATOR_KEY)}"]`,
    ];
    const child = this.spawnWithSettings('entry', id, settings);
    const entry = { id, child, url: `http://127.0.0.1:${callers}` };
    await untilReady(`${entry.url}/healthz`);
    this.entries[index] = entry;
    return entry;
  }

  /** Starts an agent, or a new one in the place of one that ended. */
  async startAgent(
    service: string,
    kind: string,
    index: number,
    endpointUrl: string,
  ): Promise<RunningProcess> {
    const id = `${service}-${index}`;
    const settings = [
      'role = "agent"',
      `id = "${id}"`,
      `domain = "${this.domainOf(index)}"`,
      `platform = { url = "${this.platform?.url}" }`,
      '[agent]',
      `service = "${service}"`,
      `kind = "${kind}"`,
      `endpoint_url = "${endpointUrl}"`,
      `address = "127.0.0.1:${await freePort()}"`,
    ];
    const child = this.spawnWithSettings('agent', id, settings);
    return { id, child, url: endpointUrl };
  }

  private async startEndpoint(service: string, kind: string, index: number): Promise<void> {
    const system = kind === 'model' ? 'engine' : 'service';
    const extra = kind === 'model' ? (this.options.engineArguments ?? []) : [];
    const standin = await startStandin(system, `${service}-standin-${index}`, extra);
    (kind === 'model' ? this.engines : this.services).push(standin);
    this.agents.push(await this.startAgent(service, kind, index, standin.url));
  }

  private spawnWithSettings(role: string, id: string, settings: string[]): ChildProcess {
    const file = join(this.folder, `${id}.toml`);
    writeFileSync(file, `${settings.join('\n')}\n`);
    return spawn(BINARY, [role, '--settings', file], { stdio: 'ignore' });
  }

  private async applyConfiguration(): Promise<void> {
    const { services, contracts } = this.options.configuration;
    await this.put('/admin/v1/services', { services });
    for (const contract of contracts) {
      await this.put(`/admin/v1/contracts/${contract.customer}`, { contract });
    }
  }

  private async put(path: string, body: object): Promise<void> {
    const response = await request(`${this.entries[0]?.url}${path}`, {
      method: 'PUT',
      headers: { authorization: `Bearer ${OPERATOR_KEY}`, 'content-type': 'application/json' },
      body: JSON.stringify(body),
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) throw new Error(text);
  }

  private async untilEndpointsKnown(count: number): Promise<void> {
    for (const entry of this.entries) {
      let known = 0;
      while (known < count) {
        known = (await readStatus(entry)).endpoints.length;
        if (known < count) await sleep(READY_PAUSE_MS);
      }
    }
  }

  private domainOf(index: number): string {
    const { domains } = this.options;
    return domains[index % domains.length] ?? '';
  }
}

/** Resolves after a while. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function untilReady(url: string): Promise<void> {
  for (let attempt = 0; attempt < READY_ATTEMPTS; attempt += 1) {
    const status = await request(url).then(
      async ({ statusCode, body }) => {
        await body.dump();
        return statusCode;
      },
      () => 0,
    );
    if (status === 200) return;
    await sleep(READY_PAUSE_MS);
  }
  throw new Error(`${url} did not get ready`);
}

async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

/** Returns what an entry says of itself. */
export async function readStatus(
  entry: RunningProcess,
): Promise<{ endpoints: unknown[]; partitions: number }> {
  const response = await request(`${entry.url}/admin/v1/status`, {
    headers: { authorization: `Bearer ${OPERATOR_KEY}` },
  });
  return (await response.body.json()) as { endpoints: unknown[]; partitions: number };
}

async function startStandin(
  system: string,
  id: string,
  extra: string[] = [],
): Promise<RunningProcess> {
  const child = spawn(BINARY, ['standin', system, ...extra], {
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  const url = await new Promise<string>((resolve, reject) => {
    child.once('exit', () => reject(new Error(`the stand-in ${id} ended early`)));
    createInterface({ input: child.stdout }).on('line', (line) => {
      const match = /listens on (\S+)/.exec(line);
      if (match?.[1]) resolve(match[1]);
    });
  });
  return { id, child, url };
}
