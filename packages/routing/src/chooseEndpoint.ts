import type { EndpointView } from './endpointDirectory';

/** What the choice depends on besides the endpoints. */
export interface ChoiceRequest {
  /** Endpoint where the program's context is cached, if any. */
  warmEndpoint: string;
  /** Tokens of context that a cold endpoint has to build. */
  contextTokens: number;
  /** Milliseconds of latency that one wasted cache token is worth. */
  wastedCachePriceMs: number;
}

/** Speeds that the estimate starts from. */
export interface ChoiceSpeeds {
  /** Milliseconds to build one token of context. */
  prefillMsPerToken?: number;
  /** Milliseconds of wait for each call ahead. */
  waitMsPerCall?: number;
}

const PREFILL_MS_PER_TOKEN = 0.125;
const WAIT_MS_PER_CALL = 25;

/** A program leaves its warm endpoint only for one that is better by this share. */
const HYSTERESIS = 0.9;

/** Returns the expected milliseconds until an endpoint has built the context of a call. */
export function expectedCost(
  view: EndpointView,
  request: ChoiceRequest,
  { prefillMsPerToken = PREFILL_MS_PER_TOKEN, waitMsPerCall = WAIT_MS_PER_CALL }: ChoiceSpeeds = {},
): number {
  const { load, ownRunning, sentSinceReport } = view;
  // The report lags, so that what was sent since comes on top of it.
  const ahead = Math.max(load.running + load.queued + sentSinceReport, ownRunning);
  const waitMs = ahead * waitMsPerCall;
  if (view.endpoint.id === request.warmEndpoint) return waitMs * HYSTERESIS;
  const rebuildMs = request.contextTokens * prefillMsPerToken;
  return waitMs + rebuildMs + request.contextTokens * request.wastedCachePriceMs;
}

/** Returns the endpoint with the lowest expected cost; ties go to the first id. */
export function chooseEndpoint(
  views: EndpointView[],
  request: ChoiceRequest,
  speeds: ChoiceSpeeds = {},
): EndpointView | undefined {
  let best: EndpointView | undefined;
  let lowest = Infinity;
  views.forEach((view) => {
    const cost = expectedCost(view, request, speeds);
    const wins = cost < lowest || (cost === lowest && view.endpoint.id < (best?.endpoint.id ?? ''));
    if (!wins) return;
    best = view;
    lowest = cost;
  });
  return best;
}
