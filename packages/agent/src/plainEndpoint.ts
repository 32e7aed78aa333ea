/** Parameters of one call to a plain service. */
export interface PlainRequest {
  operation: string;
  /** Idempotency key, which is passed to the service in case it supports such keys. */
  key: string;
  body: string;
}

/** Response of a plain service. */
export interface PlainOutcome {
  status: number;
  body: string;
}

/** Interface between an agent and its plain service. */
export abstract class PlainEndpoint {
  /**
   * Sends a call once, without retries. Throws a `CallError` whose `execution` is `not-run` only
   * when the request can't have reached the service.
   */
  abstract execute(request: PlainRequest, signal: AbortSignal): Promise<PlainOutcome>;
}
