/** What may be repeated: streams and non-idempotent calls run at most once for each attempt. */
export type CallKind = 'idempotent' | 'non-idempotent' | 'stream';

/** One service that a route sends to, and its share. */
export interface Destination {
  service: string;
  weight: number;
}

/** How calls of one host and path prefix are handled. */
export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  prefix: string;
  kind: CallKind;
  /** Longest time for which a caller is kept waiting, in milliseconds. */
  timeoutMs: number;
  /** Order of importance; 0 comes first. */
  rank: number;
  destinations: Destination[];
  /** Endpoints to which one call may be sent. */
  maximumAttempts: number;
  /** How long turns are kept for later ones, in milliseconds; undefined where calls carry it all. */
  retentionMs: number | undefined;
}

/** A model engine as its service describes it. */
export interface EngineTraits {
  /** Tokens in each event of a stream. */
  tokensPerEvent: number;
}

/** One service of a configuration. */
export interface RoutedService {
  name: string;
  engine: EngineTraits | undefined;
}

/** Bounds on what a caller may send and how long it may take. */
export interface CallerLimits {
  headerBytes: number;
  bodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** Everything that operators configure for the gateway, at one version. */
export interface RoutedConfiguration {
  version: number;
  routes: Route[];
  services: RoutedService[];
  limits: CallerLimits;
}
