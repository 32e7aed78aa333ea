import type { EventLog } from '@marjorampin/logging';
import type { Metrics } from '@marjorampin/metrics';
import {
  decodeValue,
  ENDPOINT_PREFIX,
  type KeyValueStore,
  type StoredValue,
  WatchedPrefix,
} from '@marjorampin/store';
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
  parsePeerAddress,
  type Priority,
  toCallError,
} from '@marjorampin/types';
import * as z from 'zod';

/** Time that a call waits for an available endpoint before it is refused with `no-endpoint`. */
const ENDPOINT_WAIT_TIMEOUT_MS = 1_500;
const ENDPOINT_POLL_INTERVAL_MS = 50;

/** Errors caused by the endpoint or its connection, not by the call. */
const ENDPOINT_FAILURE_KINDS = [
  'connection-lost',
  'endpoint-failed',
  'deadline-exceeded',
  'leaving',
];

/** Options of `EndpointDispatcher`. */
export interface EndpointDispatcherOptions {
  store: KeyValueStore;
  peers: PeerPool;
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
}

/** Options for sending one request. */
export interface DispatchOptions {
  signal?: AbortSignal;
  /** Receives the streamed parts of the answer. */
  onText?: (text: string) => void;
  /** The request fails when neither a part nor the answer arrives for this long. */
  progressTimeoutMs: number;
}

/** Criteria for choosing the endpoint of a call. */
export interface EndpointRequest extends ChoiceRequest {
  /** Priority class: under load, calls of lower classes are refused first. */
  priority: Priority;
}

/** Chooses endpoints for calls and sends requests to their agents. */
export abstract class EndpointClient {
  /**
   * Chooses an endpoint of a service, preferably one whose id is not in `tried`. Throws
   * `no-endpoint` or `overloaded`.
   */
  abstract choose(service: string, request: EndpointRequest, tried: Set<string>): Promise<Endpoint>;

  /** Sends a request to an endpoint's agent. */
  abstract send(endpoint: Endpoint, body: RequestBody, options: DispatchOptions): Promise<Reply>;

  /** Returns a registered endpoint by its id. */
  abstract get(id: string): Endpoint | undefined;
}

/** Tracks the endpoints registered in the store and the load that their agents report. */
export class EndpointDispatcher extends EndpointClient {
  readonly directory: EndpointDirectory;

  private readonly options: EndpointDispatcherOptions;

  private readonly watchedEndpoints: WatchedPrefix;

  constructor(options: EndpointDispatcherOptions) {
    super();
    this.options = options;
    const { store, clock } = options;
    this.directory = new EndpointDirectory({ clock });
    this.watchedEndpoints = new WatchedPrefix({ store, clock, prefix: ENDPOINT_PREFIX });
    this.watchedEndpoints.onChange(() => this.updateDirectory());
  }

  /** Reads the registered endpoints and watches them for changes. */
  async start(): Promise<void> {
    await this.watchedEndpoints.start();
    this.updateDirectory();
  }

  /** Stops watching. */
  stop(): void {
    this.watchedEndpoints.stop();
  }

  /**
   * Chooses an endpoint, preferably one whose id is not in `tried`. Waits up to
   * `ENDPOINT_WAIT_TIMEOUT_MS` for an available one, then throws `no-endpoint`; throws `overloaded`
   * without waiting.
   */
  override async choose(
    service: string,
    request: EndpointRequest,
    tried: Set<string>,
  ): Promise<Endpoint> {
    const { clock } = this.options;
    const waitUntilMs = clock.now() + ENDPOINT_WAIT_TIMEOUT_MS;
    for (;;) {
      const available = this.directory.available(service);
      // Load shedding applies unless `tried` lists endpoints to which the call was already sent.
      if (tried.size === 0) admitCall(available, request.priority);
      const untried = available.filter(({ endpoint }) => !tried.has(endpoint.id));
      const chosen = chooseEndpoint(untried.length > 0 ? untried : available, request);
      if (chosen) return chosen.endpoint;
      if (clock.now() >= waitUntilMs) throw noEndpoint(service);
      await clock.sleep(ENDPOINT_POLL_INTERVAL_MS);
    }
  }

  /** Sends a request to an endpoint's agent; excludes the endpoint for a while if it failed. */
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
    this.directory.callStarted(endpoint.id);
    try {
      const callOptions = { progressTimeoutMs, onItem, ...(signal ? { signal } : {}) };
      const reply = await peers.get(endpoint.address).call(body, callOptions);
      if (reply.body.case === 'modelResult' && firstTextMs > 0) {
        const tokens = Math.max(1, reply.body.value.outputTokens);
        this.directory.recordMsPerToken(endpoint.id, (clock.now() - firstTextMs) / tokens);
      }
      return reply;
    } catch (thrown) {
      const { kind, message } = toCallError(thrown);
      if (ENDPOINT_FAILURE_KINDS.includes(kind)) {
        this.directory.exclude(endpoint.id);
        log.write('endpointFailed', { endpoint: endpoint.id, kind, message });
        metrics.count('endpoint_failures_total', { endpoint: endpoint.id, kind });
      }
      throw thrown;
    } finally {
      this.directory.callFinished(endpoint.id);
      metrics.observe('endpoint_call', { service: endpoint.service }, clock.now() - startedMs);
    }
  }

  /** Records the load that an agent reported, and whether its endpoint is leaving. */
  applyReport(id: string, load: ReportedLoad, isLeaving: boolean): void {
    const wasLeaving = this.directory.get(id)?.isLeaving ?? true;
    if (isLeaving && !wasLeaving) this.options.log.write('endpointLeaving', { endpoint: id });
    this.directory.report(id, load, isLeaving);
  }

  override get(id: string): Endpoint | undefined {
    return this.directory.get(id)?.endpoint;
  }

  private updateDirectory(): void {
    const stored = this.watchedEndpoints.all();
    this.directory.update(stored.flatMap((each) => decodeRegistration(each) ?? []));
  }
}

function noEndpoint(service: string): CallError {
  const message = `no endpoint of "${service}" is available; retry later, or start one`;
  return new CallError({ kind: 'no-endpoint', message, retryAfterMs: 2_000 });
}

const registration = z.object({
  id: z.string(),
  service: z.string(),
  address: z.string().refine((text) => parsePeerAddress(text) !== undefined),
  incarnation: z.string(),
  domain: z.string(),
  state: z.enum(['live', 'leaving']),
});

/** Decodes the registration of an endpoint; returns undefined if it describes none. */
function decodeRegistration(stored: StoredValue): Endpoint | undefined {
  const endpoint = decodeValue(stored, registration);
  return endpoint && stored.key === `${ENDPOINT_PREFIX}${endpoint.id}` ? endpoint : undefined;
}
