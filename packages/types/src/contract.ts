/** Order of classes: urgent work goes first, background work yields first. */
export type Priority = 'urgent' | 'standard' | 'background';

/** Limits that follow from a customer's contract. */
export interface Limits {
  /** Programs under way at once. */
  concurrentPrograms: number;
  /** Calls a second over all programs. */
  callsPerSecond: number;
}

/** What the operators agree with one customer; every limit follows from it. */
export interface Contract {
  customer: string;
  /** Hex SHA-256 digests of the caller keys. */
  keyDigests: string[];
  services: string[];
  priority: Priority;
  /** Services whose calls yield first under load. */
  mayWait: string[];
  /** Budget of one program, in tokens; a service call costs its service's `costTokens`. */
  programBudgetTokens: number;
  limits: Limits;
  /** Number of partitions over which the customer's programs spread. */
  partitions: number;
  /** Idle time after which a program expires. */
  programLifetimeMs: number;
  /** Share of calls that must be good. */
  objective: number;
}

/** How an endpoint's service is reached. */
export type ServiceKind = 'model' | 'plain';

/** One service that the system routes to. */
export interface Service {
  name: string;
  kind: ServiceKind;
  /** Operations that may be repeated; all others run at most once. */
  idempotentOperations: string[];
  /** Price of one call against the program's budget; model calls cost their tokens. */
  costTokens: number;
  /** Milliseconds of latency that one wasted cache token is worth. */
  wastedCachePriceMs: number;
  /** Time after which a call without progress is given up. */
  progressTimeoutMs: number;
  /** Whether the endpoints refuse orders with an old fencing number themselves. */
  checksFencing: boolean;
}

/** A key for sealing continuations; the highest number seals, all of them open. */
export interface SealingKey {
  number: number;
  /** Base64 of 32 random bytes. */
  secret: string;
}

/** All that operators configure; `revision` grows with every accepted change. */
export interface Configuration {
  revision: number;
  contracts: Contract[];
  services: Service[];
  sealingKeys: SealingKey[];
}

/** State of an endpoint as its agent registered it. */
export type EndpointState = 'live' | 'leaving';

/** One endpoint that calls can be sent to. */
export interface Endpoint {
  id: string;
  service: string;
  /** Where calls are sent, `IP:port`: the agent beside it, or the endpoint itself. */
  address: string;
  /** Changes with every start of the agent. */
  incarnation: string;
  domain: string;
  state: EndpointState;
}
