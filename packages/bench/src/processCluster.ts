import { type ChildProcess, spawn } from 'node:child_process';
import { existsSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { type ConfigurationFile } from '@marjorampin/configuration';
import { sha256Hex } from '@marjorampin/types';
import { request } from 'undici';

const BINARY = 'dist/marjorampin';
const OPERATOR_KEY = 'bench-operator-key';
const MAXIMUM_READY_POLLS = 200;
const READY_POLL_INTERVAL_MS = 50;

/**
 * Time in which the partitions are distributed over all entries of a started cluster. A new entry
 * gets partitions once it has been registered for `MEMBER_STABLE_AFTER_MS`.
 */
export const PARTITION_SETTLE_MS = 4_000;

/** Options of `ProcessCluster`. */
export interface ProcessClusterOptions {
  configuration: ConfigurationFile;
  entryCount: number;
  /** Number of endpoints of each service. */
  endpointCount: number;
  /** Failure domains, assigned to entries and endpoints in turn. */
  domains: string[];
  /** Additional command-line arguments of the engine stand-ins. */
  engineArguments?: string[];
}

/** A running process and the URL at which it, or an agent's endpoint, is reached. */
export interface RunningProcess {
  id: string;
  child: ChildProcess;
  url: string;
}

/** Runs entries, agents and stand-ins as separate processes of the built binary, over loopback. */
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

  /** Starts all processes, applies the configuration and waits until entries know all endpoints. */
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
    await this.waitForEndpoints(configuration.services.length * endpointCount);
  }

  /** Kills all processes and removes their settings files. */
  close(): void {
    const all = [...this.entries, ...this.agents, ...this.engines, ...this.services];
    [...all, ...(this.platform ? [this.platform] : [])].forEach(({ child }) =>
      child.kill('SIGKILL'),
    );
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** Starts the entry of this index, which replaces an earlier one that has exited. */
  async startEntry(index: number): Promise<RunningProcess> {
    const id = `entry-${index}`;
    const [callerPort, peerPort] = [await findFreePort(), await findFreePort()];
    const settings = [
      'role = "entry"',
      `id = "${id}"`,
      `domain = "${this.domainOf(index)}"`,
      `platform = { url = "${this.platform?.url}" }`,
      '[entry]',
      `caller_address = "127.0.0.1:${callerPort}"`,
      `peer_address = "127.0.0.1:${peerPort}"`,
      `operator_key_digests = ["${sha256Hex(OPERATOR_KEY)}"]`,
    ];
    const child = this.spawnWithSettings('entry', id, settings);
    const entry = { id, child, url: `http://127.0.0.1:${callerPort}` };
    await waitUntilReady(`${entry.url}/healthz`);
    this.entries[index] = entry;
    return entry;
  }

  /** Starts the agent of an endpoint, which replaces an earlier one that has exited. */
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
      `address = "127.0.0.1:${await findFreePort()}"`,
    ];
    const child = this.spawnWithSettings('agent', id, settings);
    return { id, child, url: endpointUrl };
  }

  private async startEndpoint(service: string, kind: string, index: number): Promise<void> {
    const standinKind = kind === 'model' ? 'engine' : 'service';
    const extra = kind === 'model' ? (this.options.engineArguments ?? []) : [];
    const standin = await startStandin(standinKind, `${service}-standin-${index}`, extra);
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

  private async waitForEndpoints(count: number): Promise<void> {
    for (const entry of this.entries) {
      let knownCount = 0;
      while (knownCount < count) {
        knownCount = (await readStatus(entry)).endpoints.length;
        if (knownCount < count) await sleep(READY_POLL_INTERVAL_MS);
      }
    }
  }

  private domainOf(index: number): string {
    const { domains } = this.options;
    return domains[index % domains.length] ?? '';
  }
}

/** Resolves after a number of milliseconds. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

async function waitUntilReady(url: string): Promise<void> {
  for (let attempt = 0; attempt < MAXIMUM_READY_POLLS; attempt += 1) {
    const status = await request(url).then(
      async ({ statusCode, body }) => {
        await body.dump();
        return statusCode;
      },
      () => 0,
    );
    if (status === 200) return;
    await sleep(READY_POLL_INTERVAL_MS);
  }
  throw new Error(`${url} did not become ready in time; run the process alone to see its log`);
}

async function findFreePort(): Promise<number> {
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

/** Reads an entry's status from its administration API. */
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
    child.once('exit', () => reject(new Error(`stand-in ${id} exited before it was listening`)));
    createInterface({ input: child.stdout }).on('line', (line) => {
      const match = /listens on (\S+)/.exec(line);
      if (match?.[1]) resolve(match[1]);
    });
  });
  return { id, child, url };
}
