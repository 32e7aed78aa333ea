/** One call to a plain service. */
export interface PlainRequest {
  operation: string;
  /** Sent along, so that a service that knows such keys can use it. */
  key: string;
  body: string;
}

/** The service's answer. */
export interface PlainOutcome {
  status: number;
  body: string;
}

/** A plain service, as the agent beside it speaks to it. */
export abstract class PlainEndpoint {
  /**
   * Executes a call, once. Throws a `CallError` whose execution is `not-run` only when the
   * request can't have reached the service.
   */
  abstract execute(request: PlainRequest, signal: AbortSignal): Promise<PlainOutcome>;
}
