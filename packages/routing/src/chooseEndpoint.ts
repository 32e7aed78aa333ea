import type { EndpointView } from './endpointDirectory';

/** What the choice depends on besides the endpoints. */
export interface ChoiceRequest {
  /** Endpoint where the program's context is cached, if any. */
  warmEndpoint: string;
  /** Tokens of context that a cold endpoint has to build. */
  contextTokens: number;
  /** Milliseconds of latency that one wasted cache token is worth. */
  wastedCachePriceMs: number;
  /** Failure domain of the caller's entry; undefined where distance does not matter. */
  domain?: string;
  /** Endpoints to which an idle connection that the call may use is open. */
  connected?: Set<string>;
}

/** Parts of the choice, each of which an ablation can leave out. */
export interface ChoiceOptions {
  /** Milliseconds to build one token of context. */
  prefillMsPerToken?: number;
  /** Milliseconds that each running call adds to a new one. */
  runningCallMs?: number;
  /** Milliseconds that each queued call adds to a new one. */
  queuedCallMs?: number;
  /** Output tokens expected of a call, for endpoints that are slow. */
  expectedOutputTokens?: number;
  usesAffinity?: boolean;
  usesPrice?: boolean;
  usesInterference?: boolean;
  usesOwnSends?: boolean;
  usesSpeed?: boolean;
}

const PREFILL_MS_PER_TOKEN = 0.125;
const RUNNING_CALL_MS = 12;
const QUEUED_CALL_MS = 150;
const EXPECTED_OUTPUT_TOKENS = 80;

/** What crossing to another failure domain and back costs a call. */
const OTHER_DOMAIN_MS = 3;
/** What a new connection costs a call: a round trip between domains and its acceptance. */
const NEW_CONNECTION_MS = 2;

/** A program leaves its warm endpoint only for one that is better by this share. */
const HYSTERESIS = 0.85;

/** Returns the milliseconds that the calls ahead at an endpoint add to a new one. */
export function expectedWaitMs(
  { load, ownRunning, sentSinceReport }: EndpointView,
  {
    runningCallMs = RUNNING_CALL_MS,
    queuedCallMs = QUEUED_CALL_MS,
    usesOwnSends = true,
  }: ChoiceOptions = {},
): number {
  // The report lags, so that what was sent since comes on top of it.
  const reported = load.running + load.queued;
  const unseen = usesOwnSends ? Math.max(sentSinceReport, ownRunning - reported) : 0;
  return (load.running + Math.max(0, unseen)) * runningCallMs + load.queued * queuedCallMs;
}

/** Returns the expected milliseconds that an endpoint adds to a call, wasted cache priced in. */
export function expectedCost(
  view: EndpointView,
  request: ChoiceRequest,
  fastestMsPerToken: number,
  options: ChoiceOptions = {},
): number {
  const {
    prefillMsPerToken = PREFILL_MS_PER_TOKEN,
    expectedOutputTokens = EXPECTED_OUTPUT_TOKENS,
    usesAffinity = true,
    usesPrice = true,
    usesInterference = true,
    usesSpeed = true,
  } = options;
  const slowerMs = Math.max(0, view.msPerToken - fastestMsPerToken);
  const isFar = request.domain !== undefined && request.domain !== view.endpoint.domain;
  const isNew = request.connected !== undefined && !request.connected.has(view.endpoint.id);
  const waitMs =
    expectedWaitMs(view, options) +
    (isNew ? NEW_CONNECTION_MS : 0) +
    (usesSpeed ? slowerMs * expectedOutputTokens : 0) +
    (isFar ? OTHER_DOMAIN_MS : 0);
  if (!usesAffinity) return waitMs;
  if (view.endpoint.id === request.warmEndpoint) return waitMs * HYSTERESIS;
  // Building context also delays every call that runs there.
  const delayedCalls = 1 + (usesInterference ? view.load.running : 0);
  const rebuildMs = request.contextTokens * prefillMsPerToken * delayedCalls;
  const priceMs = usesPrice ? request.contextTokens * request.wastedCachePriceMs : 0;
  return waitMs + rebuildMs + priceMs;
}

/** Returns the endpoint with the lowest expected cost; ties go to the first one given. */
export function chooseEndpoint(
  views: EndpointView[],
  request: ChoiceRequest,
  options: ChoiceOptions = {},
): EndpointView | undefined {
  const speeds = views.map(({ msPerToken }) => msPerToken).filter((speed) => speed > 0);
  const fastest = speeds.length > 0 ? Math.min(...speeds) : 0;
  let best: EndpointView | undefined;
  let lowest = Infinity;
  views.forEach((view) => {
    const cost = expectedCost(view, request, fastest, options);
    if (cost >= lowest) return;
    best = view;
    lowest = cost;
  });
  return best;
}
