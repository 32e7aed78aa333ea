import { Agent } from '@marjorampin/agent';
import { type ConfigurationFile, ConfigurationWriter } from '@marjorampin/configuration';
import { Entry } from '@marjorampin/entry';
import { type EventLog, MemoryEventLog } from '@marjorampin/logging';
import { Metrics } from '@marjorampin/metrics';
import { HttpKeyValueStore } from '@marjorampin/store';
import {
  EngineStandin,
  type EngineStandinOptions,
  KeyValueStoreStandin,
  ServiceStandin,
} from '@marjorampin/standins';
import { formatPeerAddress, type PeerAddress, type Service, SystemClock } from '@marjorampin/types';

const LOOPBACK: PeerAddress = { host: '127.0.0.1', port: 0 };
const DEFAULT_ENTRY_COUNT = 2;
const DEFAULT_ENDPOINT_COUNT = 2;
const DEFAULT_DOMAINS = ['domain-a', 'domain-b'];

/** Options of `DevelopmentCluster`. */
export interface DevelopmentClusterOptions {
  configuration: ConfigurationFile;
  /** Number of entries; default `DEFAULT_ENTRY_COUNT`. */
  entryCount?: number;
  /** Number of endpoints of each service; default `DEFAULT_ENDPOINT_COUNT`. */
  endpointCount?: number;
  /** Failure domains, assigned to entries and endpoints in turn; default `DEFAULT_DOMAINS`. */
  domains?: string[];
  engine?: EngineStandinOptions;
  log?: EventLog;
  operatorKeyDigests?: string[];
  /** Folder in which entries store histories; in memory when absent. */
  dataFolder?: string;
}

/** An endpoint's stand-in and its agent, both started. */
export interface RunningEndpoint {
  id: string;
  service: string;
  standin: EngineStandin | ServiceStandin;
  url: string;
  agent: Agent;
}

/** A started entry and the URL at which callers reach it. */
export interface RunningEntry {
  id: string;
  entry: Entry;
  url: string;
  metrics: Metrics;
}

/** Runs entries, agents and stand-ins in one process, connected over loopback. */
export class DevelopmentCluster {
  readonly platform = new KeyValueStoreStandin();

  readonly endpoints: RunningEndpoint[] = [];

  readonly entries: RunningEntry[] = [];

  private readonly options: DevelopmentClusterOptions;

  private readonly clock = new SystemClock();

  private readonly log: EventLog;

  private readonly stores: HttpKeyValueStore[] = [];

  private platformUrl = '';

  constructor(options: DevelopmentClusterOptions) {
    this.options = options;
    this.log = options.log ?? new MemoryEventLog();
  }

  /** Starts the stand-ins, writes the configuration, then starts agents and entries. */
  async start(): Promise<void> {
    const {
      configuration,
      entryCount = DEFAULT_ENTRY_COUNT,
      endpointCount = DEFAULT_ENDPOINT_COUNT,
    } = this.options;
    this.platformUrl = urlOf(await this.platform.listen(LOOPBACK));
    await this.writeConfiguration();
    for (const service of configuration.services) {
      for (let index = 0; index < endpointCount; index += 1) {
        await this.startEndpoint(service, index);
      }
    }
    for (let index = 0; index < entryCount; index += 1) await this.startEntry(index);
  }

  /** URLs of the entries for callers. */
  get urls(): string[] {
    return this.entries.map(({ url }) => url);
  }

  /** Stops everything immediately, without draining. */
  async close(): Promise<void> {
    await Promise.all(this.entries.map(({ entry }) => entry.kill()));
    await Promise.all(this.endpoints.map(({ agent }) => agent.kill()));
    await Promise.all(this.endpoints.map(({ standin }) => standin.close()));
    await this.platform.close();
    await Promise.all(this.stores.map((store) => store.close()));
  }

  /** Returns how often the plain services executed each call, by idempotency key. */
  executions(): Map<string, number> {
    const counts = new Map<string, number>();
    this.endpoints.forEach(({ standin }) => {
      if (!(standin instanceof ServiceStandin)) return;
      standin.executions.forEach((count, key) => counts.set(key, (counts.get(key) ?? 0) + count));
    });
    return counts;
  }

  /** Starts an additional entry. */
  async startEntry(index: number): Promise<RunningEntry> {
    const id = `entry-${index}`;
    const metrics = new Metrics();
    const { dataFolder, operatorKeyDigests = [] } = this.options;
    const entry = new Entry({
      id,
      domain: this.domainOf(index),
      callerAddress: LOOPBACK,
      peerAddress: LOOPBACK,
      store: this.createStore(),
      clock: this.clock,
      log: this.log,
      metrics,
      operatorKeyDigests,
      dataFolder: dataFolder ? `${dataFolder}/${id}` : undefined,
    });
    const { callers } = await entry.start();
    const running = { id, entry, url: urlOf(callers), metrics };
    this.entries.push(running);
    return running;
  }

  /** Starts an agent for a stand-in, which replaces an earlier agent with the same id. */
  async startAgent(id: string, service: Service, url: string, domain: string): Promise<Agent> {
    const agent = new Agent({
      id,
      service,
      endpointUrl: url,
      address: LOOPBACK,
      domain,
      store: this.createStore(),
      clock: this.clock,
      log: this.log,
    });
    await agent.start();
    return agent;
  }

  private async startEndpoint(service: Service, index: number): Promise<void> {
    const isModel = service.kind === 'model';
    const standin = isModel ? new EngineStandin(this.options.engine) : new ServiceStandin();
    const url = urlOf(await standin.listen(LOOPBACK));
    const id = `${service.name}-${index}`;
    const agent = await this.startAgent(id, service, url, this.domainOf(index));
    this.endpoints.push({ id, service: service.name, standin, url, agent });
  }

  private async writeConfiguration(): Promise<void> {
    const writer = new ConfigurationWriter({ store: this.createStore() });
    const { contracts, services } = this.options.configuration;
    (await writer.ensureSealingKey()).unwrap();
    (await writer.writeServices(services)).unwrap();
    for (const contract of contracts) (await writer.writeContract({ contract })).unwrap();
  }

  private createStore(): HttpKeyValueStore {
    const store = new HttpKeyValueStore({ url: this.platformUrl });
    this.stores.push(store);
    return store;
  }

  private domainOf(index: number): string {
    const { domains = DEFAULT_DOMAINS } = this.options;
    return domains[index % domains.length] ?? '';
  }
}

function urlOf(address: PeerAddress): string {
  return `http://${formatPeerAddress(address)}`;
}
