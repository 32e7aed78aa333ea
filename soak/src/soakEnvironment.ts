import { LinkProxy } from '@marjorampin/standins';
import type { PeerAddress } from '@marjorampin/types';
import { CONFIGURATION_KEY, ENDPOINT_ENTRY_PREFIX } from '@marjorampin/platform';
import { EndpointStandin, TOKENS_PER_EVENT } from './endpointStandin';
import { PORTS, type SoakHost, SoakHosts } from './soakHosts';
import type { SoakRecord } from './soakRecord';
import { StoreStandin } from './storeStandin';

/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
export type RandomSource = () => number;

/** Port of the proxies, which forward connections to the processes on the other ports. */
const PROXY_PORT = 8100;
/** Prefixes of the keys of retirement orders and of their status. */
const RETIREMENT_PREFIX = 'op/retire/';
const RETIREMENT_STATUS_PREFIX = 'status/retire/';
/** Increment of the configuration version; versions need not be consecutive. */
const VERSION_STEP = 3;

/** Numbers of processes and stand-ins of a soak, and settings of its hosts. */
export interface SoakSize {
  entries: number;
  keepers: number;
  endpoints: number;
  /** Failure domains among which hosts and endpoints are spread. */
  zones: number;
  graceS: number;
}

const DEFAULT_SIZE: SoakSize = { entries: 2, keepers: 3, endpoints: 3, zones: 3, graceS: 4 };

/** Parts of the configuration that operators change. */
export interface ConfigurationChange {
  timeoutMs?: number;
  maxConns?: number;
  idleTimeoutMs?: number;
  /** Names of routes and services that no caller uses. */
  spareNames?: string[];
}

/** Options of `SoakEnvironment`. */
export interface SoakEnvironmentOptions {
  network: string;
  record: SoakRecord;
  size?: SoakSize;
  output(line: string): void;
}

/**
 * The store, endpoints, hosts and links of one soak, on loopback addresses that only it uses.
 *
 * The third octet of an address identifies what listens there: 1 entries, 2 keepers, 3 the store,
 * 4 endpoints, 5 links to endpoints, 6 links from entries to the store, 7 links from keepers to the
 * store, 8 links from callers to entries. The fourth octet numbers them from 1.
 */
export class SoakEnvironment {
  readonly store = new StoreStandin();

  readonly endpoints: EndpointStandin[];

  readonly hosts: SoakHosts;

  /** Links between callers and entries, hosts and the store, entries and endpoints. */
  readonly links: LinkProxy[] = [];

  /** Addresses at which callers reach the entries. */
  readonly entryAddresses: PeerAddress[] = [];

  private readonly network: string;

  private readonly size: SoakSize;

  private version = 0;

  constructor({ network, record, size = DEFAULT_SIZE, output }: SoakEnvironmentOptions) {
    this.network = network;
    this.size = size;
    this.endpoints = Array.from(
      { length: size.endpoints },
      (_, index) => new EndpointStandin(`runner-${index}`, record),
    );
    this.hosts = new SoakHosts(this.createHosts(), output, size.graceS);
  }

  /** Starts the store, then endpoints, links and hosts. */
  async start(): Promise<void> {
    const store = { host: `${this.network}.3.1`, port: PORTS.store };
    await this.store.listen(store);
    await this.writeConfiguration();
    for (const [index, endpoint] of this.endpoints.entries()) {
      const endpointAddress = { host: `${this.network}.4.${index + 1}`, port: PORTS.endpoint };
      await endpoint.listen(endpointAddress);
      await this.createLink(endpointAddress, `${this.network}.5.${index + 1}`);
      await this.register(endpoint);
    }
    for (const host of this.hosts.hosts) {
      const [storeHost = ''] = host.storeAddress.split(':');
      await this.createLink(store, storeHost);
      if (host.role === 'entry') await this.createCallerLink(host);
      this.hosts.start(host);
    }
  }

  /** Writes the configuration to the store under a higher version. */
  async writeConfiguration({
    timeoutMs = 2_500,
    maxConns = 200,
    idleTimeoutMs = 15_000,
    spareNames = [],
  }: ConfigurationChange = {}): Promise<void> {
    this.version += VERSION_STEP;
    const route = (name: string, kind: string, more: object) => ({
      name,
      host: 'soak.example',
      prefix: `/${name}/`,
      kind,
      timeoutMs,
      sloMs: 500,
      priority: 1,
      service: 'all',
      maxAttempts: kind === 'idempotent' ? 2 : 1,
      ...more,
    });
    await this.store.put(CONFIGURATION_KEY, {
      version: this.version,
      routes: [
        route('turn', 'stream', { retainContext: true, retainS: 300, gapSloMs: 500 }),
        route('look', 'idempotent', {}),
        route('book', 'non_idempotent', {}),
        ...spareNames.map((name) => route(name, 'idempotent', { service: name })),
      ],
      services: [
        {
          name: 'all',
          maxConns,
          engine: { slots: 8, kvCapacity: 50_000, eventTokens: TOKENS_PER_EVENT },
        },
        ...spareNames.map((name) => ({ name, maxConns })),
      ],
      limits: {
        maxHeaderBytes: 8_000,
        maxBodyBytes: 100_000,
        headerTimeoutMs: 3_000,
        idleTimeoutMs,
      },
    });
  }

  /** Registers an endpoint in the store. */
  async register(endpoint: EndpointStandin, state: 'ready' | 'draining' = 'ready'): Promise<void> {
    const index = this.endpoints.indexOf(endpoint);
    await this.store.put(`${ENDPOINT_ENTRY_PREFIX}${endpoint.id}`, {
      service: 'all',
      address: `${this.network}.5.${index + 1}:${PROXY_PORT}`,
      zone: `zone-${index % Math.min(this.size.zones, this.size.entries)}`,
      version: 1,
      slots: 8,
      state,
      coldLeftMs: 0,
      sequence: 1,
      born: 1,
    });
  }

  /** Orders that a keeper be emptied, or withdraws the order. */
  async orderRetirement({ name }: SoakHost, isOrdered: boolean): Promise<void> {
    const key = `${RETIREMENT_PREFIX}${name}`;
    await this.store.remove(`${RETIREMENT_STATUS_PREFIX}${name}`);
    if (isOrdered) await this.store.put(key, { durationS: 10 });
    else await this.store.remove(key);
  }

  /** Returns whether a keeper has been emptied. */
  async isRetired({ name }: SoakHost): Promise<boolean> {
    return (await this.store.text(`${RETIREMENT_STATUS_PREFIX}${name}`)).includes('completed');
  }

  /** Removes an endpoint from the store; its process keeps running. */
  async unregister({ id }: EndpointStandin): Promise<void> {
    await this.store.remove(`${ENDPOINT_ENTRY_PREFIX}${id}`);
  }

  /** Addresses of the entries themselves, without a link in between. */
  get directAddresses(): PeerAddress[] {
    return this.hosts.hosts
      .filter(({ role }) => role === 'entry')
      .map(({ ip }) => ({ host: ip, port: PORTS.front }));
  }

  /** Stops hosts, links and stand-ins. */
  async stop(): Promise<void> {
    await this.hosts.stop();
    this.links.forEach((link) => link.close());
    await Promise.all([this.store, ...this.endpoints].map((standin) => standin.close()));
  }

  private createHosts(): SoakHost[] {
    const host = (role: SoakHost['role'], index: number): SoakHost => ({
      name: `${role}-${index}`,
      role,
      ip: `${this.network}.${role === 'entry' ? 1 : 2}.${index + 1}`,
      zone: `zone-${index % this.size.zones}`,
      storeAddress: `${this.network}.${role === 'entry' ? 6 : 7}.${index + 1}:${PROXY_PORT}`,
    });
    return [
      ...Array.from({ length: this.size.keepers }, (_, index) => host('keeper', index)),
      ...Array.from({ length: this.size.entries }, (_, index) => host('entry', index)),
    ];
  }

  private async createCallerLink({ ip }: SoakHost): Promise<void> {
    const host = ip.replace(`${this.network}.1.`, `${this.network}.8.`);
    await this.createLink({ host: ip, port: PORTS.front }, host);
    this.entryAddresses.push({ host, port: PROXY_PORT });
  }

  private async createLink(target: PeerAddress, host: string): Promise<void> {
    const link = new LinkProxy(target);
    await link.listen({ host, port: PROXY_PORT });
    this.links.push(link);
  }
}
