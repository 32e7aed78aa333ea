/** Limit on the requests of a client account, over all hosts together. */
export interface AccountLimit {
  /** Requests per second. */
  perSecond: number;
  /** Requests that may be sent at once after a pause. */
  burst: number;
}

/** A client account, on behalf of which callers send requests. */
export interface ClientAccount {
  name: string;
  /** Priority rank that takes precedence over that of a route, 0 is the highest; undefined to use the route's. */
  rank: number | undefined;
  /** Undefined without a limit. */
  limit: AccountLimit | undefined;
  /** SHA-256 digests of the account's API keys, as hexadecimal text. */
  keyDigests: string[];
}
