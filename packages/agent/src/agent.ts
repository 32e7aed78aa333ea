import { randomUUID } from 'node:crypto';
import type { EventLog } from '@marjorampin/logging';
import {
  compareAndSwapWithReadBack,
  ENDPOINT_PREFIX,
  type KeyValueStore,
  type TokenedValue,
} from '@marjorampin/store';
import { PeerPool, PeerServer, type TlsFiles } from '@marjorampin/protocol';
import {
  type Clock,
  formatPeerAddress,
  type Endpoint,
  type EndpointState,
  type PeerAddress,
  type Service,
} from '@marjorampin/types';
import { AgentHandler } from './agentHandler';
import { HttpModelEndpoint } from './httpModelEndpoint';
import { HttpPlainEndpoint } from './httpPlainEndpoint';
import type { EndpointLoad } from './modelEndpoint';

/** Interval between two load reports to the connected entries. */
const REPORT_INTERVAL_MS = 200;

/** Time for entries to stop choosing a leaving endpoint, before the agent awaits the last calls. */
const LEAVING_GRACE_MS = 500;

const REGISTRATION_RETRY_DELAY_MS = 250;
const DRAIN_POLL_INTERVAL_MS = 20;

/** Interval between two releases of the contexts of idle programs. */
const IDLE_SWEEP_INTERVAL_MS = 30_000;

/** Options of `Agent`. */
export interface AgentOptions {
  /** Id of the endpoint. */
  id: string;
  service: Pick<Service, 'name' | 'kind'>;
  /** Base URL of the model engine or plain service. */
  endpointUrl: string;
  /** Address on which the agent listens for entries and other agents. */
  address: PeerAddress;
  /** Failure domain of the endpoint. */
  domain: string;
  store: KeyValueStore;
  clock: Clock;
  log: EventLog;
  tls?: TlsFiles | undefined;
}

/**
 * Runs beside one endpoint: registers it, reports its load and executes the calls of the entries.
 * All calls to the endpoint pass through its agent.
 */
export class Agent {
  /** Distinguishes this start of the agent from earlier and later ones. */
  readonly incarnation = randomUUID();

  private readonly options: AgentOptions;

  private readonly handler: AgentHandler;

  private readonly server: PeerServer;

  private readonly peers: PeerPool;

  private readonly stopController = new AbortController();

  private boundAddress = '';

  private state: EndpointState = 'live';

  constructor(options: AgentOptions) {
    this.options = options;
    const { id, service, endpointUrl: url, clock, log, tls } = options;
    const adapter =
      service.kind === 'model' ? new HttpModelEndpoint({ url }) : new HttpPlainEndpoint({ url });
    this.handler = new AgentHandler({
      endpoint: id,
      incarnation: this.incarnation,
      adapter,
      log,
      clock,
      sendContext: (address, exported) => this.sendContext(address, exported),
    });
    this.server = new PeerServer({
      address: options.address,
      handler: this.handler,
      clock,
      ...(tls ? { tls } : {}),
    });
    this.peers = new PeerPool({ handler: this.handler, clock, tls });
    if (adapter instanceof HttpModelEndpoint) {
      this.runLoadReports(() => adapter.load());
      this.runIdleReleases();
    } else {
      const countRunning = () => this.handler.running;
      this.runLoadReports(async () => ({ running: countRunning(), queued: 0, cachedTokens: 0 }));
    }
  }

  /** Starts listening, registers the endpoint and returns the bound address. */
  async start(): Promise<PeerAddress> {
    const bound = await this.server.listen();
    this.boundAddress = formatPeerAddress(bound);
    await this.register();
    this.options.log.write('processStarted', { role: 'agent', id: this.options.id });
    return bound;
  }

  /** Shuts down gracefully: announces the departure, refuses new calls, awaits the running ones. */
  async stop(): Promise<void> {
    const { log, id, clock } = this.options;
    log.write('processStopping', { role: 'agent', id });
    this.state = 'leaving';
    this.handler.isLeaving = true;
    this.sendReport({ running: this.handler.running, queued: 0, cachedTokens: 0 });
    await this.tryRegister();
    await clock.sleep(LEAVING_GRACE_MS);
    while (this.handler.running > 0) await clock.sleep(DRAIN_POLL_INTERVAL_MS);
    await this.kill();
    log.write('processStopped', { role: 'agent', id });
  }

  /** Stops at once without waiting for running calls, as a crash would. */
  async kill(): Promise<void> {
    this.stopController.abort();
    this.peers.close();
    await this.server.close();
  }

  private async runIdleReleases(): Promise<void> {
    const { signal } = this.stopController;
    while (!signal.aborted) {
      await this.handler.releaseIdleContexts().catch(() => undefined);
      await this.options.clock.sleep(IDLE_SWEEP_INTERVAL_MS, signal).catch(() => undefined);
    }
  }

  private async register(): Promise<void> {
    while (!this.stopController.signal.aborted && !(await this.tryRegister())) {
      await this.options.clock.sleep(REGISTRATION_RETRY_DELAY_MS);
    }
  }

  private async tryRegister(): Promise<boolean> {
    const { id, service, domain, store, log } = this.options;
    const endpoint: Endpoint = {
      id,
      service: service.name,
      address: this.boundAddress,
      incarnation: this.incarnation,
      domain,
      state: this.state,
    };
    const key = `${ENDPOINT_PREFIX}${id}`;
    const read = await store.get(key);
    if (read.err) {
      log.write('storeUnavailable', { reason: read.val.message });
      return false;
    }
    const expectedVersion = read.val?.version ?? 0;
    const swap = await compareAndSwapWithReadBack<Endpoint & TokenedValue>(store, {
      key,
      value: endpoint,
      expectedVersion,
    });
    return swap.ok;
  }

  private async runLoadReports(readLoad: () => Promise<EndpointLoad>): Promise<void> {
    const { signal } = this.stopController;
    while (!signal.aborted) {
      const load = await readLoad().catch(() => undefined);
      if (load) this.sendReport(load);
      await this.options.clock.sleep(REPORT_INTERVAL_MS, signal).catch(() => undefined);
    }
  }

  private sendReport({ running, queued, cachedTokens }: EndpointLoad): void {
    const leaving = this.state === 'leaving';
    const report = { endpoint: this.options.id, leaving, running, queued, cachedTokens };
    [...this.server.channels].forEach((channel) => channel.report(report));
  }

  private async sendContext(address: string, exported: string): Promise<void> {
    await this.peers.get(address).call({ case: 'importContext', value: { exported } });
  }
}
