import type { ClientAccount } from '@marjorampin/types';

/**
 * Kind of a route's calls. Idempotent calls are retried after any failure; streams and
 * non-idempotent calls run at most once and are retried only when the failed attempt did not run.
 */
export type CallKind = 'idempotent' | 'non-idempotent' | 'stream';

/** One service of a route; its share of the calls is its weight over the sum of all weights. */
export interface Destination {
  service: string;
  weight: number;
}

/** Handling of the calls with one host and path prefix. */
export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  prefix: string;
  kind: CallKind;
  /** Timeout of a call in milliseconds; a shorter deadline of the caller takes precedence. */
  timeoutMs: number;
  /** Priority rank; 0 is the highest. */
  rank: number;
  destinations: Destination[];
  /** Maximum number of times that one call is sent; failed connections don't count. */
  maximumAttempts: number;
  /** Whether an interrupted stream may be resumed after its last event, by another run. */
  isResumable: boolean;
  /** Whether turns are stored so that later turns can continue them. */
  storesTurns: boolean;
  /** Whether callers need no API key. */
  isPublic: boolean;
  /** Whether endpoints serve a call faster if they served an earlier one with the same affinity key or prompt. */
  isSticky: boolean;
  /** Time for which stored turns and the budget accounts of programs are kept, in milliseconds. */
  retentionMs: number;
}

/** Properties of a service's model engine. */
export interface EngineTraits {
  /** Tokens in each event of a stream. */
  tokensPerEvent: number;
  /** Number of calls that an endpoint runs at once; undefined if it is not stated. */
  slots?: number | undefined;
  /** Tokens that running calls and cached prompts of an endpoint take up at most. */
  memoryTokens?: number | undefined;
}

/** One service of a configuration. */
export interface RoutedService {
  name: string;
  engine: EngineTraits | undefined;
}

/** Limits on the size of a caller's requests, in bytes, and on their timing, in milliseconds. */
export interface CallerLimits {
  headerBytes: number;
  bodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** One version of the operators' configuration of the gateway. */
export interface RoutedConfiguration {
  version: number;
  routes: Route[];
  services: RoutedService[];
  limits: CallerLimits;
  /** Client accounts; undefined if callers need no API key. */
  accounts?: ClientAccount[] | undefined;
}
