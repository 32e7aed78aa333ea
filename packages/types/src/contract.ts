/** Priority class of a call; under load, `background` is refused first and `urgent` last. */
export type Priority = 'urgent' | 'standard' | 'background';

/** Rate and concurrency limits of a customer. */
export interface ContractLimits {
  /** Maximum number of programs that are active at the same time. */
  concurrentPrograms: number;
  /** Maximum rate of calls per second, over all programs of the customer. */
  callsPerSecond: number;
}

/** Terms of service of one customer; all of the customer's limits are derived from them. */
export interface Contract {
  customer: string;
  /** Hex SHA-256 digests of the keys that authenticate the customer's calls. */
  keyDigests: string[];
  /** Names of the services that the customer may call. */
  services: string[];
  /** Priority of the customer's calls, unless `mayWait` lists the service. */
  priority: Priority;
  /** Names of the services whose calls get the priority `background`. */
  mayWait: string[];
  /** Budget of one program, in tokens; a call to a plain service costs its `costTokens`. */
  programBudgetTokens: number;
  limits: ContractLimits;
  /** Number of partitions that the customer's programs are distributed over. */
  partitions: number;
  /** Time from opening a program until it expires, in milliseconds. */
  programLifetimeMs: number;
  /** Service-level objective: fraction of calls that must be good, between 0 and 1. */
  objective: number;
}

/** Type of a service: `model` for model engines, `plain` for any other service. */
export type ServiceKind = 'model' | 'plain';

/** Service that calls are routed to. */
export interface Service {
  name: string;
  kind: ServiceKind;
  /** Operations that are safe to repeat; a call of any other operation runs at most once. */
  idempotentOperations: string[];
  /** Tokens of the program's budget that one call costs; model calls cost what they use. */
  costTokens: number;
  /**
   * Price of one token of cached context that another endpoint has to compute again, in
   * milliseconds of latency.
   */
  wastedCachePriceMs: number;
  /** Timeout of a call since its last progress, in milliseconds. */
  progressTimeoutMs: number;
  /** Whether the endpoints themselves reject requests with an outdated fencing number. */
  checksFencing: boolean;
}

/** Key for sealing continuations. The highest-numbered key seals, every configured key opens. */
export interface SealingKey {
  number: number;
  /** Base64 of random bytes; the configuration schema checks the minimum length. */
  secret: string;
}

/** Contracts, services and keys that operators configure. */
export interface Configuration {
  /** Increases with every accepted change. */
  revision: number;
  contracts: Contract[];
  services: Service[];
  sealingKeys: SealingKey[];
}

/** Registered state of an endpoint; a `leaving` one is shutting down and gets no new calls. */
export type EndpointState = 'live' | 'leaving';

/** Registration of an endpoint that calls can be sent to. */
export interface Endpoint {
  id: string;
  /** Name of the service. */
  service: string;
  /** Address that calls are sent to, `IP:port`: that of its agent, or of the endpoint itself. */
  address: string;
  /** Id of the agent's current run; every start creates a new one. */
  incarnation: string;
  /** Failure domain. */
  domain: string;
  state: EndpointState;
}

/** Returns a key that differs for each incarnation of an endpoint. */
export function incarnationKey({ id, incarnation }: Pick<Endpoint, 'id' | 'incarnation'>): string {
  return `${id} ${incarnation}`;
}
