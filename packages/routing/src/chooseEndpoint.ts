import type { EndpointView } from './endpointDirectory';

/** Properties of the call for which an endpoint is chosen. */
export interface ChoiceRequest {
  /** Id of the endpoint that caches the program's context; empty if none does. */
  warmEndpoint: string;
  /** Tokens of context that an endpoint without a cached copy has to compute. */
  contextTokens: number;
  /**
   * Price of one token of cached context that another endpoint has to compute again, in
   * milliseconds of latency.
   */
  wastedCachePriceMs: number;
  /** Failure domain of the caller's entry; undefined to ignore the distance to endpoints. */
  domain?: string;
  /** Ids of endpoints with an idle connection for the call; undefined to ignore connection costs. */
  connectedEndpoints?: Pick<Set<string>, 'has'>;
  /** Returns further expected costs of the call at an endpoint, in milliseconds. */
  furtherCostMs?(view: EndpointView): number;
}

/** Cost parameters, and switches with which an ablation disables single terms of the cost. */
export interface ChoiceOptions {
  /** Milliseconds to compute one token of context. */
  prefillMsPerToken?: number;
  /** Milliseconds by which each running call delays a new one. */
  runningCallMs?: number;
  /** Milliseconds by which each queued call delays a new one. */
  queuedCallMs?: number;
  /** Expected output tokens of a call, multiplied by the extra time per token of a slow endpoint. */
  expectedOutputTokens?: number;
  usesAffinity?: boolean;
  usesWastedCachePrice?: boolean;
  usesInterference?: boolean;
  usesUnreportedCalls?: boolean;
  usesSpeed?: boolean;
}

const PREFILL_MS_PER_TOKEN = 0.125;
const RUNNING_CALL_MS = 12;
const QUEUED_CALL_MS = 150;
const EXPECTED_OUTPUT_TOKENS = 80;

/** Latency of a round trip to another failure domain. */
const CROSS_DOMAIN_MS = 3;
/** Estimated latency of opening a connection; the same for endpoints in all failure domains. */
const NEW_CONNECTION_MS = 2;

/** A program leaves its warm endpoint only if another one costs less than this share of its cost. */
const HYSTERESIS_FACTOR = 0.85;

/** Returns the milliseconds by which the calls at an endpoint, and its rate limit, are expected to
 * delay a new call. */
export function expectedWaitMs(
  { load, localRunning, sentSinceReport, permitWaitMs }: EndpointView,
  {
    runningCallMs = RUNNING_CALL_MS,
    queuedCallMs = QUEUED_CALL_MS,
    usesUnreportedCalls = true,
  }: ChoiceOptions = {},
): number {
  // Load reports lag behind, so calls sent since the latest one are added.
  const reported = load.running + load.queued;
  const unreported = usesUnreportedCalls ? Math.max(sentSinceReport, localRunning - reported) : 0;
  const running = load.running + Math.max(0, unreported);
  return running * runningCallMs + load.queued * queuedCallMs + permitWaitMs;
}

/** Returns the expected time to reach an endpoint, with the further costs of the call there, in
 * milliseconds. */
export function accessMs(
  view: EndpointView,
  { domain, connectedEndpoints, furtherCostMs }: ChoiceRequest,
): number {
  const { id, domain: endpointDomain } = view.endpoint;
  const isInOtherDomain = domain !== undefined && domain !== endpointDomain;
  const needsConnection = connectedEndpoints !== undefined && !connectedEndpoints.has(id);
  return (
    (needsConnection ? NEW_CONNECTION_MS : 0) +
    (isInOtherDomain ? CROSS_DOMAIN_MS : 0) +
    (furtherCostMs?.(view) ?? 0)
  );
}

/**
 * Returns the expected delay of a call at an endpoint plus the price of the cached context that the
 * endpoint has to compute again, in milliseconds.
 */
export function expectedCostMs(
  view: EndpointView,
  request: ChoiceRequest,
  fastestMsPerToken: number,
  options: ChoiceOptions = {},
): number {
  const {
    prefillMsPerToken = PREFILL_MS_PER_TOKEN,
    expectedOutputTokens = EXPECTED_OUTPUT_TOKENS,
    usesAffinity = true,
    usesWastedCachePrice = true,
    usesInterference = true,
    usesSpeed = true,
  } = options;
  const extraMsPerToken = Math.max(0, view.msPerToken - fastestMsPerToken);
  const waitMs =
    expectedWaitMs(view, options) +
    accessMs(view, request) +
    (usesSpeed ? extraMsPerToken * expectedOutputTokens : 0);
  if (!usesAffinity) return waitMs;
  if (view.endpoint.id === request.warmEndpoint) return waitMs * HYSTERESIS_FACTOR;
  // Computing the context also delays every call that is running there.
  const delayedCalls = 1 + (usesInterference ? view.load.running : 0);
  const rebuildMs = request.contextTokens * prefillMsPerToken * delayedCalls;
  const priceMs = usesWastedCachePrice ? request.contextTokens * request.wastedCachePriceMs : 0;
  return waitMs + rebuildMs + priceMs;
}

/** Returns the milliseconds per token of the fastest endpoint that was measured; 0 if none was. */
function fastestOf(views: readonly EndpointView[]): number {
  let fastest = Infinity;
  views.forEach(({ msPerToken }) => {
    if (msPerToken > 0 && msPerToken < fastest) fastest = msPerToken;
  });
  return fastest === Infinity ? 0 : fastest;
}

/**
 * Returns the endpoint with the lowest expected cost. On a tie, this is the first of `views`, or with
 * `random`, each of the tied ones with the same probability.
 */
export function chooseEndpoint(
  views: readonly EndpointView[],
  request: ChoiceRequest,
  options: ChoiceOptions = {},
  random?: () => number,
): EndpointView | undefined {
  const fastestMsPerToken = fastestOf(views);
  return cheapestOf(
    views,
    (view) => expectedCostMs(view, request, fastestMsPerToken, options),
    random,
  );
}

/** Returns the option with the lowest cost, with ties as for `chooseEndpoint`. */
export function cheapestOf<T>(
  options: readonly T[],
  costMsOf: (option: T) => number,
  random?: () => number,
): T | undefined {
  let best: T | undefined;
  let lowestCostMs = Infinity;
  let tied = 0;
  options.forEach((option) => {
    const costMs = costMsOf(option);
    if (costMs < lowestCostMs) tied = 1;
    else if (random && costMs === lowestCostMs) tied += 1;
    else return;
    // The n-th of tied endpoints replaces the one chosen before with the probability 1/n.
    if (tied > 1 && random && random() * tied >= 1) return;
    best = option;
    lowestCostMs = costMs;
  });
  return best;
}
