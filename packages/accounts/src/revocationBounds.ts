/** Share of the revocation time up to which a configuration is trusted; the rest covers the time that
 * a checked request takes until it is sent. */
const REFUSAL_SHARE = 0.9;
/** Share of the revocation time after which new connections should go to other entries. */
const UNREADY_SHARE = 0.6;

/** Ages of the configuration, in milliseconds, at which an entry stops serving requests with a key. */
export interface RevocationBounds {
  /** Requests with a key are refused at a higher age. */
  refusalAgeMs: number;
  /** The entry reports itself not ready at a higher age. */
  unreadyAgeMs: number;
}

/** Returns the bounds with which no removed key is accepted `revokeMs` after its removal. */
export function revocationBoundsOf(revokeMs: number): RevocationBounds {
  return { refusalAgeMs: revokeMs * REFUSAL_SHARE, unreadyAgeMs: revokeMs * UNREADY_SHARE };
}
