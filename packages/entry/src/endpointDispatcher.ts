import type { EventLog } from '@marjorampin/logging';
import type { Metrics } from '@marjorampin/metrics';
import { ENDPOINT_PREFIX, type KeyValueStore, WatchedPrefix } from '@marjorampin/store';
import type { PeerPool, Reply, RequestBody } from '@marjorampin/protocol';
import {
  admitCall,
  chooseEndpoint,
  type ChoiceRequest,
  EndpointDirectory,
  type ReportedLoad,
} from '@marjorampin/routing';
import {
  CallError,
  type Clock,
  type Endpoint,
  type Priority,
  toCallError,
} from '@marjorampin/types';

/** A service without an available endpoint is waited for this long before a call is refused. */
const ENDPOINT_WAIT_MS = 1_500;
const ENDPOINT_PAUSE_MS = 50;

/** Failures that say something about the endpoint, not about the call. */
const ENDPOINT_FAILURES = ['connection-lost', 'endpoint-failed', 'deadline-exceeded', 'leaving'];

/** What the dispatcher needs. */
export interface EndpointDispatcherOptions {
  store: KeyValueStore;
  peers: PeerPool;
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
}

/** How one request is sent. */
export interface DispatchOptions {
  signal?: AbortSignal;
  onText?: (text: string) => void;
  progressTimeoutMs: number;
}

/** What a call needs of an endpoint. */
export interface EndpointRequest extends ChoiceRequest {
  /** Class of the work: under load, lower classes are refused first. */
  priority: Priority;
}

/** The endpoints, as calls see them. */
export abstract class Endpoints {
  /** Chooses an endpoint of a service; throws `no-endpoint` or `overloaded`. */
  abstract choose(service: string, request: EndpointRequest, tried: Set<string>): Promise<Endpoint>;

  /** Sends a request to an endpoint's agent. */
  abstract send(endpoint: Endpoint, body: RequestBody, options: DispatchOptions): Promise<Reply>;

  /** Returns a registered endpoint. */
  abstract get(id: string): Endpoint | undefined;
}

/** Knows the endpoints, chooses among them and sends requests to their agents. */
export class EndpointDispatcher extends Endpoints {
  readonly directory: EndpointDirectory;

  private readonly options: EndpointDispatcherOptions;

  private readonly watched: WatchedPrefix;

  constructor(options: EndpointDispatcherOptions) {
    super();
    this.options = options;
    const { store, clock } = options;
    this.directory = new EndpointDirectory({ clock });
    this.watched = new WatchedPrefix({ store, clock, prefix: ENDPOINT_PREFIX });
    this.watched.onChange(() => this.refresh());
  }

  /** Reads the endpoints and follows them. */
  async start(): Promise<void> {
    await this.watched.start();
    this.refresh();
  }

  /** Stops following. */
  stop(): void {
    this.watched.stop();
  }

  /** Chooses an endpoint; waits a moment for one, then throws `no-endpoint`. */
  override async choose(
    service: string,
    request: EndpointRequest,
    tried: Set<string>,
  ): Promise<Endpoint> {
    const { clock } = this.options;
    const giveUpAt = clock.now() + ENDPOINT_WAIT_MS;
    for (;;) {
      const available = this.directory.available(service);
      // A call that began is not given up for its class.
      if (tried.size === 0) admitCall(available, request.priority);
      const fresh = available.filter(({ endpoint }) => !tried.has(endpoint.id));
      const chosen = chooseEndpoint(fresh.length > 0 ? fresh : available, request);
      if (chosen) return chosen.endpoint;
      if (clock.now() >= giveUpAt) throw noEndpoint(service);
      await clock.sleep(ENDPOINT_PAUSE_MS);
    }
  }

  /** Sends a request to an endpoint's agent, and keeps new work away when that fails. */
  override async send(
    endpoint: Endpoint,
    body: RequestBody,
    options: DispatchOptions,
  ): Promise<Reply> {
    const { peers, clock, metrics, log } = this.options;
    const { onText, signal, progressTimeoutMs } = options;
    const startedMs = clock.now();
    let firstTextMs = 0;
    const onItem = (text: string) => {
      if (firstTextMs === 0) firstTextMs = clock.now();
      onText?.(text);
    };
    this.directory.started(endpoint.id);
    try {
      const sent = { progressTimeoutMs, onItem, ...(signal ? { signal } : {}) };
      const reply = await peers.get(endpoint.address).call(body, sent);
      if (reply.body.case === 'modelResult' && firstTextMs > 0) {
        const tokens = Math.max(1, reply.body.value.outputTokens);
        this.directory.observeSpeed(endpoint.id, (clock.now() - firstTextMs) / tokens);
      }
      return reply;
    } catch (thrown) {
      const { kind, message } = toCallError(thrown);
      if (ENDPOINT_FAILURES.includes(kind)) {
        this.directory.exclude(endpoint.id);
        log.write('endpointFailed', { endpoint: endpoint.id, kind, message });
        metrics.count('endpoint_failures_total', { endpoint: endpoint.id, kind });
      }
      throw thrown;
    } finally {
      this.directory.finished(endpoint.id);
      metrics.observe('endpoint_call', { service: endpoint.service }, clock.now() - startedMs);
    }
  }

  /** Takes in an agent's report. */
  report(id: string, load: ReportedLoad, isLeaving: boolean): void {
    const wasLeaving = this.directory.get(id)?.isLeaving ?? true;
    if (isLeaving && !wasLeaving) this.options.log.write('endpointLeaving', { endpoint: id });
    this.directory.report(id, load, isLeaving);
  }

  override get(id: string): Endpoint | undefined {
    return this.directory.get(id)?.endpoint;
  }

  private refresh(): void {
    const endpoints = this.watched.all().map(({ value }) => JSON.parse(value) as Endpoint);
    this.directory.update(endpoints);
  }
}

function noEndpoint(service: string): CallError {
  const message = `no endpoint of "${service}" is available; retry later, or start one`;
  return new CallError({ kind: 'no-endpoint', message, retryAfterMs: 2_000 });
}
