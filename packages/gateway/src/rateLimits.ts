import type { EventLog } from '@marjorampin/logging';
import type { Metrics } from '@marjorampin/metrics';
import type { RateLimit } from '@marjorampin/routing';
import type { Permit, PermitClient } from '@marjorampin/turns';
import { type Clock, type Endpoint, incarnationKey } from '@marjorampin/types';
import type { EndpointAnswer } from './endpointExchange';
import { TrackedRateLimit } from './trackedRateLimit';

/** Number of endpoints whose limits are remembered: more than are limited at the same time. */
const MAXIMUM_ENDPOINTS = 10_000;

/** Status of a refusal that another endpoint may have sent, which has taken over the address. */
const MISDIRECTED_STATUS = 421;

/** Parts of an answer from which the endpoint's rate limit follows. */
type StatingAnswer = Pick<EndpointAnswer, 'status' | 'parsedHeaders'>;

/** Options of `RateLimits`. */
export interface RateLimitsOptions {
  permits: PermitClient;
  clock: Clock;
  log: EventLog;
  metrics: Metrics;
}

/** Counter of the requests to each endpoint that has a limit. */
const SENDS_COUNTER = 'rate_limited_sends_total';

const UNLIMITED: Permit = { outcome: 'granted', waitMs: 0, limit: undefined };

/** Tracks the rate limits that endpoints state in their answers, and acquires permits under them. */
export class RateLimits {
  private readonly options: RateLimitsOptions;

  /** By endpoint id. The registration of an endpoint can disappear and return; its limit is kept. */
  private readonly tracked = new Map<string, TrackedRateLimit>();

  constructor(options: RateLimitsOptions) {
    this.options = options;
    options.metrics.gauge(
      'rate_limited_endpoints',
      'endpoints with a rate limit',
      () => [...this.tracked.values()].filter(({ perSecond }) => perSecond !== undefined).length,
    );
  }

  /** Returns the expected wait until an endpoint's limit allows another request. */
  expectedWaitMs(endpoint: Endpoint): number {
    const isLimited = this.find(endpoint)?.perSecond !== undefined;
    return isLimited ? this.options.permits.expectedWaitMs(incarnationKey(endpoint)) : 0;
  }

  /** Acquires the permit to send a request to an endpoint; at once if it has no limit. */
  async acquire(endpoint: Endpoint, maximumWaitMs: number): Promise<Permit> {
    const { permits, metrics } = this.options;
    const limit = this.find(endpoint);
    if (limit?.perSecond === undefined) return UNLIMITED;
    const permit = await permits.acquire({
      endpoint: incarnationKey(endpoint),
      limit: limit.observed.current,
      maximumWaitMs,
    });
    const { service } = endpoint;
    const isDelayed = permit.outcome === 'granted' && permit.waitMs > 0;
    metrics.count('permits_total', { service, outcome: isDelayed ? 'delayed' : permit.outcome });
    if (isDelayed) metrics.observe('permit_wait', { service }, permit.waitMs);
    if (permit.limit) this.observe(endpoint, limit, permit.limit);
    return permit;
  }

  /** Counts a request that is sent to an endpoint. */
  recordSend(endpoint: Endpoint, isRepeat: boolean): void {
    const limit = this.find(endpoint);
    if (limit?.perSecond === undefined) return;
    limit.recordSend(isRepeat);
    this.options.metrics.count(SENDS_COUNTER, { endpoint: endpoint.id });
  }

  /** Records the limit in an answer to a request that was sent at `sentAtMs`. */
  recordAnswer(endpoint: Endpoint, answer: StatingAnswer, sentAtMs: number): void {
    const { rateLimit: stated } = answer.parsedHeaders;
    const known = this.find(endpoint);
    if (stated === 'none' && !(known && isFromEndpoint(answer))) return;
    const limit = known ?? this.track(endpoint);
    if (stated === 'invalid') {
      this.logInvalid(endpoint, limit);
      return;
    }
    const wasLimited = limit.perSecond !== undefined;
    if (stated !== 'none') {
      this.observe(endpoint, limit, { perSecond: stated, observedAtMs: this.options.clock.now() });
      return;
    }
    this.observe(endpoint, limit, { perSecond: undefined, observedAtMs: sentAtMs });
    const hasEnded = wasLimited && limit.perSecond === undefined;
    if (hasEnded) this.options.permits.reportEnd(incarnationKey(endpoint), limit.observed.current);
  }

  private observe(endpoint: Endpoint, limit: TrackedRateLimit, observed: RateLimit): void {
    const previous = limit.perSecond;
    limit.observed.observe(observed);
    if (limit.perSecond !== previous) this.logChange(endpoint, limit, previous);
  }

  private find({ id, incarnation }: Endpoint): TrackedRateLimit | undefined {
    const limit = this.tracked.get(id);
    return limit?.incarnation === incarnation ? limit : undefined;
  }

  private track({ id, incarnation }: Endpoint): TrackedRateLimit {
    const limit = new TrackedRateLimit({ incarnation, nowMs: this.options.clock.now() });
    this.tracked.delete(id);
    this.tracked.set(id, limit);
    const [oldest] = this.tracked.keys();
    if (this.tracked.size > MAXIMUM_ENDPOINTS && oldest !== undefined) this.forget(oldest);
    return limit;
  }

  private forget(id: string): void {
    this.tracked.delete(id);
    this.options.metrics.removeCount(SENDS_COUNTER, { endpoint: id });
  }

  private logInvalid({ id, service }: Endpoint, limit: TrackedRateLimit): void {
    if (!limit.recordInvalid()) return;
    this.options.log.write('rateLimitInvalid', { endpoint: id, service });
  }

  /** Logs a change together with the requests that this process sent under the previous limit. */
  private logChange(
    { id, service }: Endpoint,
    limit: TrackedRateLimit,
    previousPerSecond: number | undefined,
  ): void {
    const { clock, log, metrics } = this.options;
    const usage = limit.takeUsage(clock.now());
    const hasEnded = limit.perSecond === undefined;
    if (hasEnded) metrics.removeCount(SENDS_COUNTER, { endpoint: id });
    log.write(hasEnded ? 'rateLimitEnded' : 'rateLimitChanged', {
      endpoint: id,
      service,
      perSecond: limit.perSecond,
      ...(previousPerSecond !== undefined && { previousPerSecond, ...usage }),
    });
  }
}

/** Returns whether an answer certainly comes from the endpoint that the request was sent to. */
function isFromEndpoint({ status, parsedHeaders }: StatingAnswer): boolean {
  return parsedHeaders.isGenuine || (parsedHeaders.isNotRun && status !== MISDIRECTED_STATUS);
}
